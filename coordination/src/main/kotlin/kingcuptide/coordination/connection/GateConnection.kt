package kingcuptide.coordination.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The gate's side of one connection from an entry daemon. Thread-safe.
 *
 * It decides which heads are fresh enough to be admitted, and keeps "not run" true: after [beginForward] no refusal of
 * that request says so unless [forwardUnsent] states that no byte reached the target.
 */
public class GateConnection internal constructor(
    private val clock: Clock,
    private val settings: ConnectionSettings,
    private val load: () -> GateLoad,
) {
    private val requests = HashMap<Long, GateRequest>()
    private val numbers = NumberWindow()
    private var counters = GateConnectionCounters()
    private var lastStamp: Duration? = null
    private var closed = false

    /** Decides what a frame from the entry means. */
    @Synchronized
    public fun receive(frame: RequestFrame): GateDecision {
        if (frame !is Hello && lastStamp == null) {
            return protocolBroken()
        }
        return when (frame) {
            is Hello -> GateDecision.Established(frame.host, frame.incarnation, issueStamp())
            is GateTimestampRequest -> GateDecision.Write(listOf(issueStamp()))
            is RequestHead -> head(frame)
            is BodyChunk -> bodyPiece(frame)
            is Window -> creditGranted(frame)
            is Cancel -> cancel(frame)
            is GateTimestamp, is ResponseHead, is Refusal, is ResponseAbort -> protocolBroken()
        }
    }

    /**
     * Decides whether request [number] may be forwarded to the target now. Call it immediately before the first byte;
     * it succeeds at most once for each number.
     */
    @Synchronized
    public fun beginForward(number: Long): Result<Unit, ResultCode> {
        val request = requests[number] ?: return Err(ResultCode.CANCELLED)
        if (request.forwarded) {
            return Err(ResultCode.CANCELLED)
        }
        if (clock.now() >= request.deadline) {
            return Err(ResultCode.DEADLINE_PASSED)
        }
        request.forwarded = true
        return Ok(Unit)
    }

    /** Takes back [beginForward]: surely no byte of request [number] reached the target. */
    @Synchronized
    public fun forwardUnsent(number: Long) {
        requests[number]?.takeUnless { it.answerBegun }?.forwarded = false
    }

    /**
     * Ends request [number] with a final word, and returns the frames to write; none if it is over already.
     *
     * A [code] that says "not run" becomes [ResultCode.TARGET_DIED] if the request was forwarded.
     */
    @Synchronized
    public fun refuse(
        number: Long,
        code: ResultCode,
        retryAfterMs: Long = 0,
    ): List<RequestFrame> {
        val request = requests.remove(number) ?: return emptyList()
        return finalFrames(number, request, code, retryAfterMs)
    }

    /** Begins the answer of request [number], and returns the frames to write; none if nobody waits for it. */
    @Synchronized
    public fun beginResponse(
        number: Long,
        status: Int,
        headers: List<Header>,
    ): List<RequestFrame> {
        val request = requests[number]?.takeUnless { it.answerBegun } ?: return emptyList()
        request.answerBegun = true
        return listOfNotNull(ResponseHead(number, status, headers, load()), stampIfDue())
    }

    /** Takes credit for up to [wantedBytes] of the answer of [number]; 0 means wait, null means nobody waits for it. */
    @Synchronized
    public fun acquireCredit(
        number: Long,
        wantedBytes: Int,
    ): Int? = requests[number]?.sendCredit?.take(wantedBytes)

    /** Returns the frame for a piece of the answer, for which credit was taken; null if nobody waits for it. */
    @Synchronized
    public fun answerPiece(
        number: Long,
        bytes: ByteArray,
        last: Boolean,
    ): BodyChunk? {
        val request = requests[number]?.takeIf { it.answerBegun } ?: return null
        if (last) {
            requests.remove(number)
        }
        return BodyChunk(request.number, bytes, last)
    }

    /** Notes that [bytes] of the body of [number] were passed on, and returns the frame to send, if any. */
    @Synchronized
    public fun consumed(
        number: Long,
        bytes: Int,
    ): Window? {
        val allow = requests[number]?.receiveCredit?.consume(bytes) ?: 0
        return if (allow > 0) Window(number, allow) else null
    }

    /** Ends the requests whose deadline has passed. */
    @Synchronized
    public fun tick(): List<GateDecision.Expired> {
        val now = clock.now()
        val expired = requests.values.filter { now >= it.deadline }
        return expired.map(::expire)
    }

    /** Ends the connection and returns the requests that were in flight; those not forwarded can no longer start. */
    @Synchronized
    public fun close(): List<GateDecision.Cancelled> {
        closed = true
        val cancelled = requests.values.map { GateDecision.Cancelled(it.number, it.forwarded) }
        requests.clear()
        return cancelled
    }

    /** Returns what was counted so far. */
    @Synchronized
    public fun counters(): GateConnectionCounters = counters

    private fun head(frame: RequestHead): GateDecision {
        // A refusal under a number that may be running would deny that run, so a repeated number gets no answer.
        if (closed || !numbers.use(frame.number)) {
            counters = counters.copy(duplicatesDropped = counters.duplicatesDropped + 1)
            return GateDecision.Dropped(ResultCode.DUPLICATE_FRAME_DROPPED)
        }
        val now = clock.now()
        val sent = frame.gateTimestampMs.milliseconds
        val deadline = sent + frame.remainingMs.milliseconds
        return when {
            !isFresh(sent, now) -> {
                counters = counters.copy(refusedStale = counters.refusedStale + 1)
                refuseHead(frame.number, ResultCode.STALE_FRAME)
            }

            now >= deadline -> {
                counters = counters.copy(expiredNotRun = counters.expiredNotRun + 1)
                refuseHead(frame.number, ResultCode.DEADLINE_PASSED)
            }

            requests.size >= settings.maxRequests -> {
                counters = counters.copy(refusedFull = counters.refusedFull + 1)
                refuseHead(frame.number, ResultCode.TARGET_FULL)
            }

            else -> accept(frame, deadline)
        }
    }

    private fun isFresh(
        sent: Duration,
        now: Duration,
    ): Boolean = now - sent <= settings.maxTransit && sent - now <= settings.maxClockLead

    private fun accept(
        frame: RequestHead,
        deadline: Duration,
    ): GateDecision {
        requests[frame.number] = GateRequest(frame.number, deadline, settings.windowBytes, bodyEnded = !frame.hasBody)
        counters = counters.copy(accepted = counters.accepted + 1)
        return GateDecision.Accepted(frame, deadline)
    }

    private fun refuseHead(
        number: Long,
        code: ResultCode,
    ): GateDecision = GateDecision.Write(listOf(refusal(number, code, Outcome.NOT_RUN, retryAfterMs = 0), issueStamp()))

    private fun bodyPiece(frame: BodyChunk): GateDecision {
        // Pieces that follow a refused or cancelled head are ordinary: the two crossed.
        val request = requests[frame.number] ?: return dropUnknown()
        if (request.bodyEnded || !request.receiveCredit.receive(frame.bytes.size)) {
            return protocolBroken()
        }
        request.bodyEnded = frame.last
        return GateDecision.RequestBodyChunk(frame.number, frame.bytes, frame.last)
    }

    private fun creditGranted(frame: Window): GateDecision {
        val request = requests[frame.number] ?: return dropUnknown()
        return if (request.sendCredit.add(frame.bytes)) GateDecision.CreditGranted(frame.number) else protocolBroken()
    }

    private fun cancel(frame: Cancel): GateDecision {
        // Using up the number keeps a head that comes behind its cancel from starting.
        numbers.use(frame.number)
        val request = requests.remove(frame.number) ?: return dropUnknown()
        counters = if (request.forwarded) {
            counters.copy(cancelledRunning = counters.cancelledRunning + 1)
        } else {
            counters.copy(cancelledNotRun = counters.cancelledNotRun + 1)
        }
        return GateDecision.Cancelled(frame.number, request.forwarded)
    }

    private fun expire(request: GateRequest): GateDecision.Expired {
        requests.remove(request.number)
        counters = if (request.forwarded) {
            counters.copy(expiredRunning = counters.expiredRunning + 1)
        } else {
            counters.copy(expiredNotRun = counters.expiredNotRun + 1)
        }
        val code = if (request.forwarded) ResultCode.DEADLINE_PASSED_RUNNING else ResultCode.DEADLINE_PASSED
        return GateDecision.Expired(request.number, request.forwarded, finalFrames(request.number, request, code, 0))
    }

    private fun finalFrames(
        number: Long,
        request: GateRequest,
        code: ResultCode,
        retryAfterMs: Long,
    ): List<RequestFrame> {
        val truthful = if (request.forwarded && code.outcome == Outcome.NOT_RUN) ResultCode.TARGET_DIED else code
        if (request.answerBegun) {
            return listOf(ResponseAbort(number, truthful.number))
        }
        val outcome = truthful.outcome ?: Outcome.UNKNOWN
        return listOfNotNull(refusal(number, truthful, outcome, retryAfterMs), stampIfDue())
    }

    private fun refusal(
        number: Long,
        code: ResultCode,
        outcome: Outcome,
        retryAfterMs: Long,
    ): Refusal = Refusal(number, code.number, outcome, retryAfterMs, load())

    private fun stampIfDue(): GateTimestamp? {
        val last = lastStamp ?: return issueStamp()
        return if (clock.now() - last >= settings.maxStampAge / STAMPS_PER_MAX_AGE) issueStamp() else null
    }

    private fun issueStamp(): GateTimestamp {
        val now = clock.now()
        lastStamp = now
        return GateTimestamp(now.inWholeMilliseconds)
    }

    private fun dropUnknown(): GateDecision {
        counters = counters.copy(unknownDropped = counters.unknownDropped + 1)
        return GateDecision.None
    }

    private fun protocolBroken(): GateDecision = GateDecision.CloseConnection(ResultCode.PEER_FRAME_MALFORMED)

    private class GateRequest(
        val number: Long,
        val deadline: Duration,
        windowBytes: Int,
        var bodyEnded: Boolean,
    ) {
        val sendCredit = SendCredit(windowBytes)
        val receiveCredit = ReceiveCredit(windowBytes)
        var forwarded = false
        var answerBegun = false
    }

    private companion object {
        const val STAMPS_PER_MAX_AGE = 3
    }
}

/** Returns the gate's side of a new connection. [load] tells how much the gate has in hand; it must not block. */
public fun gateConnection(
    clock: Clock,
    settings: ConnectionSettings = ConnectionSettings(),
    load: () -> GateLoad,
): GateConnection = GateConnection(clock, settings, load)
