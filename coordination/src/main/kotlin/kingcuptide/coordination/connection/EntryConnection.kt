package kingcuptide.coordination.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a head to be written needs besides the number and the times, which the connection fills in. */
public data class HeadDraft(
    val head: RequestHead,
    val deadline: Duration,
)

/** Whether a head may be written at this moment. */
public sealed interface HeadDecision {
    /** Write [head] now. From this moment the request may run. */
    public data class Write(
        val head: RequestHead,
    ) : HeadDecision

    /** Write [request] first, and ask again after [EntryDecision.TimestampRenewed]. */
    public data class AwaitTimestamp(
        val request: GateTimestampRequest?,
    ) : HeadDecision

    /** Do not write it: the request is over, and it did not run. */
    public data class Refused(
        val code: ResultCode,
    ) : HeadDecision
}

/** How a request ended that the entry gave up. [cancel] is to be sent if it is there. */
public data class Abandoned(
    val cancel: Cancel?,
    val outcome: Outcome,
)

/**
 * The entry daemon's side of one connection to a gate. Thread-safe.
 *
 * It lives as long as the connection, so a number of another connection can never match. An answer reaches a request
 * only while that request is in flight here; whatever else arrives is dropped and counted.
 */
public class EntryConnection internal constructor(
    private val clock: Clock,
    private val settings: ConnectionSettings,
) {
    private val pending = HashMap<Long, PendingRequest>()
    private var counters = EntryConnectionCounters()
    private var nextNumber = 1L
    private var stamp: GateTimestamp? = null
    private var stampArrived = Duration.ZERO
    private var stampAsked = false
    private var closed = false

    /** Takes a place for a request and returns its number, or refuses; nothing has been sent then. */
    @Synchronized
    public fun open(): Result<Long, ResultCode> {
        if (closed) {
            return Err(ResultCode.PEER_UNREACHABLE)
        }
        if (pending.size >= settings.maxRequests) {
            counters = counters.copy(refusedFull = counters.refusedFull + 1)
            return Err(ResultCode.ENTRY_FULL)
        }
        val number = nextNumber++
        pending[number] = PendingRequest(settings.windowBytes)
        counters = counters.copy(opened = counters.opened + 1)
        return Ok(number)
    }

    /**
     * Decides whether the head of request [number] may be written now. Call it immediately before the write.
     *
     * A head is returned at most once for each number; its number, stamp and remaining time replace those of the draft.
     */
    @Synchronized
    public fun headToWrite(
        number: Long,
        draft: HeadDraft,
    ): HeadDecision {
        val request = pending[number] ?: return HeadDecision.Refused(ResultCode.PEER_UNREACHABLE)
        if (request.written) {
            return HeadDecision.Refused(ResultCode.PEER_UNREACHABLE)
        }
        val now = clock.now()
        if (now >= draft.deadline) {
            pending.remove(number)
            return HeadDecision.Refused(ResultCode.DEADLINE_PASSED)
        }
        val gateTime = estimateGateTime(now) ?: return awaitStamp()
        request.written = true
        return HeadDecision.Write(
            draft.head.copy(
                number = number,
                gateTimestampMs = gateTime.inWholeMilliseconds,
                remainingMs = (draft.deadline - now).inWholeMilliseconds,
            ),
        )
    }

    /** Takes credit for up to [wantedBytes] of the body of request [number]; 0 means wait, null means it is over. */
    @Synchronized
    public fun acquireCredit(
        number: Long,
        wantedBytes: Int,
    ): Int? = pending[number]?.sendCredit?.take(wantedBytes)

    /** Notes that [bytes] of the answer of [number] were passed on, and returns the frame to send, if any. */
    @Synchronized
    public fun consumed(
        number: Long,
        bytes: Int,
    ): Window? {
        val allow = pending[number]?.receiveCredit?.consume(bytes) ?: 0
        return if (allow > 0) Window(number, allow) else null
    }

    /** Gives up request [number] because its caller left or its deadline passed. A later answer is dropped. */
    @Synchronized
    public fun abandon(number: Long): Abandoned? {
        val request = pending.remove(number) ?: return null
        if (!request.written) {
            return Abandoned(cancel = null, Outcome.NOT_RUN)
        }
        return Abandoned(Cancel(number), Outcome.UNKNOWN)
    }

    /** Decides what a frame from the gate means. */
    @Synchronized
    public fun receive(frame: RequestFrame): EntryDecision = when (frame) {
        is Hello -> EntryDecision.None
        is GateTimestamp -> renewStamp(frame)
        is ResponseHead -> answerHead(frame)
        is BodyChunk -> answerPiece(frame)
        is ResponseAbort -> answerAbort(frame)
        is Refusal -> refusal(frame)
        is Window -> creditGranted(frame)
        is RequestHead, is Cancel, is GateTimestampRequest -> protocolBroken()
    }

    /** Ends the connection and returns the truthful outcome of each request that was in flight. */
    @Synchronized
    public fun close(): List<EntryDecision.Failed> {
        closed = true
        val lost = pending.map { (number, request) -> lostRequest(number, request) }
        pending.clear()
        return lost
    }

    /** Returns the number of requests in flight. */
    @Synchronized
    public fun inFlight(): Int = pending.size

    /** Returns what was counted so far. */
    @Synchronized
    public fun counters(): EntryConnectionCounters = counters

    private fun estimateGateTime(now: Duration): Duration? {
        val newest = stamp ?: return null
        val age = now - stampArrived
        return if (age <= settings.maxStampAge) newest.valueMs.milliseconds + age else null
    }

    private fun awaitStamp(): HeadDecision {
        val ask = if (stampAsked) null else GateTimestampRequest
        stampAsked = true
        return HeadDecision.AwaitTimestamp(ask)
    }

    private fun renewStamp(frame: GateTimestamp): EntryDecision {
        stamp = frame
        stampArrived = clock.now()
        stampAsked = false
        return EntryDecision.TimestampRenewed
    }

    private fun answerHead(frame: ResponseHead): EntryDecision {
        val request = pending[frame.number] ?: return drop(frame.number)
        if (!request.written || request.answerBegun) {
            return protocolBroken()
        }
        request.answerBegun = true
        return EntryDecision.Answered(frame.number, frame)
    }

    private fun answerPiece(frame: BodyChunk): EntryDecision {
        val request = pending[frame.number] ?: return drop(frame.number)
        if (!request.answerBegun || !request.receiveCredit.receive(frame.bytes.size)) {
            return protocolBroken()
        }
        if (frame.last) {
            pending.remove(frame.number)
        }
        return EntryDecision.ResponseBodyChunk(frame.number, frame.bytes, frame.last)
    }

    private fun answerAbort(frame: ResponseAbort): EntryDecision {
        val request = pending.remove(frame.number) ?: return drop(frame.number)
        counters = counters.copy(truncatedAnswers = counters.truncatedAnswers + 1)
        return failed(frame.number, frame.code, Outcome.UNKNOWN, request)
    }

    private fun refusal(frame: Refusal): EntryDecision {
        val request = pending.remove(frame.number) ?: return drop(frame.number)
        // A request whose answer began has run, whatever the gate says afterwards.
        val outcome = if (request.answerBegun) Outcome.UNKNOWN else frame.outcome
        return failed(frame.number, frame.code, outcome, request, frame.retryAfterMs, frame.load)
    }

    private fun creditGranted(frame: Window): EntryDecision {
        // A window for a request that is over is ordinary: the two crossed.
        val request = pending[frame.number] ?: return EntryDecision.None
        return if (request.sendCredit.add(frame.bytes)) EntryDecision.CreditGranted(frame.number) else protocolBroken()
    }

    private fun drop(number: Long): EntryDecision {
        counters = if (number in 1 until nextNumber) {
            counters.copy(lateAnswersDropped = counters.lateAnswersDropped + 1)
        } else {
            counters.copy(unknownAnswersDropped = counters.unknownAnswersDropped + 1)
        }
        return EntryDecision.Dropped(ResultCode.LATE_ANSWER_DROPPED)
    }

    private fun protocolBroken(): EntryDecision = EntryDecision.CloseConnection(ResultCode.PEER_FRAME_MALFORMED)

    private fun lostRequest(
        number: Long,
        request: PendingRequest,
    ): EntryDecision.Failed {
        if (!request.written) {
            counters = counters.copy(lostNotRun = counters.lostNotRun + 1)
            return failed(number, ResultCode.PEER_UNREACHABLE.number, Outcome.NOT_RUN, request)
        }
        counters = counters.copy(lostUnknown = counters.lostUnknown + 1)
        val code = if (request.answerBegun) ResultCode.ANSWER_TRUNCATED else ResultCode.ANSWER_LOST
        return failed(number, code.number, Outcome.UNKNOWN, request)
    }

    private fun failed(
        number: Long,
        code: Int,
        outcome: Outcome,
        request: PendingRequest,
        retryAfterMs: Long = 0,
        load: GateLoad? = null,
    ): EntryDecision.Failed = EntryDecision.Failed(number, code, outcome, retryAfterMs, load, request.answerBegun)

    private class PendingRequest(
        windowBytes: Int,
    ) {
        val sendCredit = SendCredit(windowBytes)
        val receiveCredit = ReceiveCredit(windowBytes)
        var written = false
        var answerBegun = false
    }
}

/** Returns the entry's side of a new connection. */
public fun entryConnection(
    clock: Clock,
    settings: ConnectionSettings = ConnectionSettings(),
): EntryConnection = EntryConnection(clock, settings)
