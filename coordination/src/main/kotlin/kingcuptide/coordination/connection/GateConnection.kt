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
 * It refuses stale request heads and guarantees that "not run" is true: after [beginForward] no refusal of that request
 * says "not run", unless [forwardUnsent] reports that no byte reached the target.
 */
public class GateConnection internal constructor(
    private val clock: Clock,
    private val settings: ConnectionSettings,
    private val load: () -> GateLoad,
) {
    private val requests = HashMap<Long, GateRequest>()
    private val numbers = NumberWindow()
    private var counters = GateConnectionCounters()
    private var lastTimestampAt: Duration? = null
    private var closed = false

    /** Handles a frame from the entry and returns what the gate has to do. */
    @Synchronized
    public fun receive(frame: RequestFrame): GateDecision {
        if (frame !is Hello && lastTimestampAt == null) {
            return protocolError()
        }
        return when (frame) {
            is Hello -> GateDecision.Established(frame.host, frame.incarnation, issueTimestamp())
            is GateTimestampRequest -> GateDecision.Write(listOf(issueTimestamp()))
            is RequestHead -> head(frame)
            is BodyChunk -> requestBodyChunk(frame)
            is Window -> creditGranted(frame)
            is Cancel -> cancel(frame)
            is GateTimestamp, is ResponseHead, is Refusal, is ResponseAbort -> protocolError()
        }
    }

    /**
     * Decides whether request [number] may be forwarded to the target now. Call it immediately before sending the first
     * byte. It succeeds at most once per number.
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

    /** Reverts [beginForward]. Call it only if certainly no byte of request [number] reached the target. */
    @Synchronized
    public fun forwardUnsent(number: Long) {
        requests[number]?.takeUnless { it.answerBegun }?.forwarded = false
    }

    /**
     * Ends request [number] with [code] and returns the frames to write; none if it has already ended.
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

    /** Begins the response to request [number] and returns the frames to write; none if the request has ended. */
    @Synchronized
    public fun beginResponse(
        number: Long,
        status: Int,
        headers: List<Header>,
    ): List<RequestFrame> {
        val request = requests[number]?.takeUnless { it.answerBegun } ?: return emptyList()
        request.answerBegun = true
        return listOfNotNull(ResponseHead(number, status, headers, load()), timestampIfDue())
    }

    /** Acquires credit for up to [wantedBytes] of the response to [number]; 0 means wait, null that it has ended. */
    @Synchronized
    public fun acquireCredit(
        number: Long,
        wantedBytes: Int,
    ): Int? = requests[number]?.sendCredit?.acquire(wantedBytes)

    /** Returns the frame for a chunk of the response, whose credit was acquired; null if the request has ended. */
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

    /** Records that [bytes] of the body of [number] were forwarded, and returns the frame to send, if any. */
    @Synchronized
    public fun consumed(
        number: Long,
        bytes: Int,
    ): Window? {
        val allow = requests[number]?.receiveCredit?.consume(bytes) ?: 0
        return if (allow > 0) Window(number, allow) else null
    }

    /** Ends the requests whose deadline has passed; call it periodically. */
    @Synchronized
    public fun tick(): List<GateDecision.Expired> {
        val now = clock.now()
        val expired = requests.values.filter { now >= it.deadline }
        return expired.map(::expire)
    }

    /** Closes the connection and returns the requests that were in flight; those not yet forwarded cannot start. */
    @Synchronized
    public fun close(): List<GateDecision.Cancelled> {
        closed = true
        val cancelled = requests.values.map { GateDecision.Cancelled(it.number, it.forwarded) }
        requests.clear()
        return cancelled
    }

    /** Returns the counters of this connection. */
    @Synchronized
    public fun counters(): GateConnectionCounters = counters

    private fun head(frame: RequestHead): GateDecision {
        // A repeated number gets no reply: its first request may be running, and a refusal would report it as not run.
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
    ): Boolean = now - sent <= settings.maxTransitTime && sent - now <= settings.maxClockLead

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
    ): GateDecision =
        GateDecision.Write(listOf(refusal(number, code, Outcome.NOT_RUN, retryAfterMs = 0), issueTimestamp()))

    private fun requestBodyChunk(frame: BodyChunk): GateDecision {
        // Chunks may cross the refusal or cancellation of their head; this is not a protocol violation.
        val request = requests[frame.number] ?: return dropForUnknownRequest()
        if (request.bodyEnded || !request.receiveCredit.receive(frame.bytes.size)) {
            return protocolError()
        }
        request.bodyEnded = frame.last
        return GateDecision.RequestBodyChunk(frame.number, frame.bytes, frame.last)
    }

    private fun creditGranted(frame: Window): GateDecision {
        val request = requests[frame.number] ?: return dropForUnknownRequest()
        return if (request.sendCredit.add(frame.bytes)) GateDecision.CreditGranted(frame.number) else protocolError()
    }

    private fun cancel(frame: Cancel): GateDecision {
        // Marking the number as used keeps a head that arrives after its cancel from starting.
        numbers.use(frame.number)
        val request = requests.remove(frame.number) ?: return dropForUnknownRequest()
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
        val reported = if (request.forwarded && code.outcome == Outcome.NOT_RUN) ResultCode.TARGET_DIED else code
        if (request.answerBegun) {
            return listOf(ResponseAbort(number, reported.number))
        }
        val outcome = reported.outcome ?: Outcome.UNKNOWN
        return listOfNotNull(refusal(number, reported, outcome, retryAfterMs), timestampIfDue())
    }

    private fun refusal(
        number: Long,
        code: ResultCode,
        outcome: Outcome,
        retryAfterMs: Long,
    ): Refusal = Refusal(number, code.number, outcome, retryAfterMs, load())

    private fun timestampIfDue(): GateTimestamp? {
        val last = lastTimestampAt ?: return issueTimestamp()
        return if (clock.now() - last >= settings.maxTimestampAge / TIMESTAMPS_PER_MAX_AGE) issueTimestamp() else null
    }

    private fun issueTimestamp(): GateTimestamp {
        val now = clock.now()
        lastTimestampAt = now
        return GateTimestamp(now.inWholeMilliseconds)
    }

    private fun dropForUnknownRequest(): GateDecision {
        counters = counters.copy(unknownDropped = counters.unknownDropped + 1)
        return GateDecision.None
    }

    private fun protocolError(): GateDecision = GateDecision.CloseConnection(ResultCode.PEER_FRAME_MALFORMED)

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
        const val TIMESTAMPS_PER_MAX_AGE = 3
    }
}

/** Returns the gate's side of a new connection. [load] returns the current load of the gate and must not block. */
public fun gateConnection(
    clock: Clock,
    settings: ConnectionSettings = ConnectionSettings(),
    load: () -> GateLoad,
): GateConnection = GateConnection(clock, settings, load)
