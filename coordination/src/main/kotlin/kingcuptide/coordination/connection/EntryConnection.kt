package kingcuptide.coordination.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request head to write; the connection fills in its number, timestamp and remaining time. */
public data class HeadDraft(
    val head: RequestHead,
    val deadline: Duration,
)

/** Whether a request head may be written now. */
public sealed interface HeadDecision {
    /** Write [head] now. From here on the request may run. */
    public data class Write(
        val head: RequestHead,
    ) : HeadDecision

    /** Write [request] first if it is set, and retry after [EntryDecision.TimestampRenewed]. */
    public data class AwaitTimestamp(
        val request: GateTimestampRequest?,
    ) : HeadDecision

    /** Do not write it: the request has ended without running. */
    public data class Refused(
        val code: ResultCode,
    ) : HeadDecision
}

/** Result of a request that the entry gave up. [cancel] must be sent if it is set. */
public data class Abandoned(
    val cancel: Cancel?,
    val outcome: Outcome,
)

/**
 * The entry daemon's side of one connection to a gate. Thread-safe.
 *
 * An instance serves exactly one connection, so request numbers of another connection never match. A response is
 * delivered only while its request is in flight here; any other is dropped and counted.
 */
public class EntryConnection internal constructor(
    private val clock: Clock,
    private val settings: ConnectionSettings,
) {
    private val pending = HashMap<Long, PendingRequest>()
    private var counters = EntryConnectionCounters()
    private var nextNumber = 1L
    private var gateTimestamp: GateTimestamp? = null
    private var gateTimestampReceivedAt = Duration.ZERO
    private var gateTimestampRequested = false
    private var closed = false

    /** Allocates a request number, or refuses if the connection is closed or full. Sends nothing. */
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
     * A head is returned at most once per number; its number, timestamp and remaining time replace those of the draft.
     */
    @Synchronized
    public fun headToWrite(
        number: Long,
        draft: HeadDraft,
    ): HeadDecision {
        val request = pending[number] ?: return HeadDecision.Refused(ResultCode.PEER_UNREACHABLE)
        if (request.headWritten) {
            return HeadDecision.Refused(ResultCode.PEER_UNREACHABLE)
        }
        val now = clock.now()
        if (now >= draft.deadline) {
            pending.remove(number)
            return HeadDecision.Refused(ResultCode.DEADLINE_PASSED)
        }
        val gateTime = estimateGateTime(now) ?: return awaitTimestamp()
        request.headWritten = true
        return HeadDecision.Write(
            draft.head.copy(
                number = number,
                gateTimestampMs = gateTime.inWholeMilliseconds,
                remainingMs = (draft.deadline - now).inWholeMilliseconds,
            ),
        )
    }

    /** Acquires credit for up to [wantedBytes] of the body of [number]; 0 means wait, null that it has ended. */
    @Synchronized
    public fun acquireCredit(
        number: Long,
        wantedBytes: Int,
    ): Int? = pending[number]?.sendCredit?.acquire(wantedBytes)

    /** Records that [bytes] of the response to [number] were delivered, and returns the frame to send, if any. */
    @Synchronized
    public fun consumed(
        number: Long,
        bytes: Int,
    ): Window? {
        val allow = pending[number]?.receiveCredit?.consume(bytes) ?: 0
        return if (allow > 0) Window(number, allow) else null
    }

    /** Gives up request [number] because its caller left or its deadline passed. A later response is dropped. */
    @Synchronized
    public fun abandon(number: Long): Abandoned? {
        val request = pending.remove(number) ?: return null
        if (!request.headWritten) {
            return Abandoned(cancel = null, Outcome.NOT_RUN)
        }
        return Abandoned(Cancel(number), Outcome.UNKNOWN)
    }

    /** Handles a frame from the gate and returns what the entry has to do. */
    @Synchronized
    public fun receive(frame: RequestFrame): EntryDecision = when (frame) {
        is Hello -> EntryDecision.None
        is GateTimestamp -> renewTimestamp(frame)
        is ResponseHead -> responseHead(frame)
        is BodyChunk -> responseBodyChunk(frame)
        is ResponseAbort -> responseAbort(frame)
        is Refusal -> refusal(frame)
        is Window -> creditGranted(frame)
        is RequestHead, is Cancel, is GateTimestampRequest -> protocolError()
    }

    /** Closes the connection and returns the outcome of each request that was in flight. */
    @Synchronized
    public fun close(): List<EntryDecision.Failed> {
        closed = true
        val failed = pending.map { (number, request) -> failOnDisconnect(number, request) }
        pending.clear()
        return failed
    }

    /** Returns the number of requests in flight. */
    @Synchronized
    public fun inFlight(): Int = pending.size

    /** Returns the counters of this connection. */
    @Synchronized
    public fun counters(): EntryConnectionCounters = counters

    private fun estimateGateTime(now: Duration): Duration? {
        val newest = gateTimestamp ?: return null
        val age = now - gateTimestampReceivedAt
        return if (age <= settings.maxTimestampAge) newest.valueMs.milliseconds + age else null
    }

    private fun awaitTimestamp(): HeadDecision {
        val request = if (gateTimestampRequested) null else GateTimestampRequest
        gateTimestampRequested = true
        return HeadDecision.AwaitTimestamp(request)
    }

    private fun renewTimestamp(frame: GateTimestamp): EntryDecision {
        gateTimestamp = frame
        gateTimestampReceivedAt = clock.now()
        gateTimestampRequested = false
        return EntryDecision.TimestampRenewed
    }

    private fun responseHead(frame: ResponseHead): EntryDecision {
        val request = pending[frame.number] ?: return dropResponseFrame(frame.number)
        if (!request.headWritten || request.answerBegun) {
            return protocolError()
        }
        request.answerBegun = true
        return EntryDecision.Answered(frame.number, frame)
    }

    private fun responseBodyChunk(frame: BodyChunk): EntryDecision {
        val request = pending[frame.number] ?: return dropResponseFrame(frame.number)
        if (!request.answerBegun || !request.receiveCredit.receive(frame.bytes.size)) {
            return protocolError()
        }
        if (frame.last) {
            pending.remove(frame.number)
        }
        return EntryDecision.ResponseBodyChunk(frame.number, frame.bytes, frame.last)
    }

    private fun responseAbort(frame: ResponseAbort): EntryDecision {
        val request = pending.remove(frame.number) ?: return dropResponseFrame(frame.number)
        counters = counters.copy(truncatedResponses = counters.truncatedResponses + 1)
        return failed(frame.number, frame.code, Outcome.UNKNOWN, request)
    }

    private fun refusal(frame: Refusal): EntryDecision {
        val request = pending.remove(frame.number) ?: return dropResponseFrame(frame.number)
        // Once its response has begun, a request has run, whatever code the gate sends.
        val outcome = if (request.answerBegun) Outcome.UNKNOWN else frame.outcome
        return failed(frame.number, frame.code, outcome, request, frame.retryAfterMs, frame.load)
    }

    private fun creditGranted(frame: Window): EntryDecision {
        // A window may cross the end of its request; this is not a protocol violation.
        val request = pending[frame.number] ?: return EntryDecision.None
        return if (request.sendCredit.add(frame.bytes)) EntryDecision.CreditGranted(frame.number) else protocolError()
    }

    private fun dropResponseFrame(number: Long): EntryDecision {
        counters = if (number in 1 until nextNumber) {
            counters.copy(lateResponsesDropped = counters.lateResponsesDropped + 1)
        } else {
            counters.copy(unknownResponsesDropped = counters.unknownResponsesDropped + 1)
        }
        return EntryDecision.Dropped(ResultCode.LATE_ANSWER_DROPPED)
    }

    private fun protocolError(): EntryDecision = EntryDecision.CloseConnection(ResultCode.PEER_FRAME_MALFORMED)

    private fun failOnDisconnect(
        number: Long,
        request: PendingRequest,
    ): EntryDecision.Failed {
        if (!request.headWritten) {
            counters = counters.copy(disconnectedNotRun = counters.disconnectedNotRun + 1)
            return failed(number, ResultCode.PEER_UNREACHABLE.number, Outcome.NOT_RUN, request)
        }
        counters = counters.copy(disconnectedUnknown = counters.disconnectedUnknown + 1)
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
        var headWritten = false
        var answerBegun = false
    }
}

/** Returns the entry's side of a new connection. */
public fun entryConnection(
    clock: Clock,
    settings: ConnectionSettings = ConnectionSettings(),
): EntryConnection = EntryConnection(clock, settings)
