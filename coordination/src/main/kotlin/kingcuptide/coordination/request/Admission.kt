package kingcuptide.coordination.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kotlin.time.Duration

/**
 * What the gate needs to know of a request.
 *
 * @property homeRegions where the request may be served
 * @property remaining time left until the deadline, with the time spent in buffers already taken off
 * @property suspect whether the entry tries again after a target died with this request
 */
public data class AdmissionRequest(
    val route: RouteId,
    val homeRegions: HomeRegions,
    val remaining: Duration,
    val fingerprint: Fingerprint,
    val suspect: Boolean = false,
)

/** The gate's word on a request. */
public sealed interface Admission {
    /** The request may go to the target now. The caller must end [ticket] exactly when the target is rid of it. */
    public data class Admitted(
        val ticket: AdmissionTicket,
    ) : Admission

    /** The request waits; the callback given to the gate gets [Admitted] or [Refused], once. */
    public data class Queued(
        val entry: QueuedAdmission,
    ) : Admission

    /** The request did not run and will not. */
    public data class Refused(
        val code: ResultCode,
        val retryAfter: Duration,
        val outcome: Outcome = Outcome.NOT_RUN,
    ) : Admission
}

/** A request that waits at the gate. */
public interface QueuedAdmission {
    /**
     * Takes the request out of the queue. Returns true if it will never be admitted and its callback never called, and
     * false if the gate has decided already; the callback then has the decision, and a ticket in it must be ended.
     */
    public fun cancel(): Boolean
}

/** One place at the target. */
public interface AdmissionTicket {
    /** Gives the place back; calls after the first do nothing. */
    public fun finish(result: TargetResult)
}

/** How a request at a target ended, as seen by the daemon beside it. */
public sealed interface TargetResult {
    /** The whole answer came. */
    public data class Answered(
        val status: Int,
    ) : TargetResult

    /** The target did not accept a connection, so no byte of the request reached it. */
    public data object ConnectRefused : TargetResult

    /** The connection broke after bytes of the request were sent. */
    public data object ConnectionLost : TargetResult

    /** The deadline passed without a whole answer, and the target was told to stop. */
    public data object TimedOut : TargetResult

    /** The caller went away, and the target was told to stop. */
    public data object Cancelled : TargetResult
}

/** Why the gate lowered its limit. */
public enum class LimitCutReason {
    /** The target refused connections, or lost all requests in flight. */
    TARGET_DIED,

    /** The health check saw the target start. */
    TARGET_STARTED,

    /** The failure domain was taken out and has returned. */
    DOMAIN_RETURNED,

    /** The target answered that it has too much. */
    OVERLOAD_ANSWER,

    /** Answers took far longer than usual, or requests in flight stalled. */
    LATENCY,

    /** Requests passed their deadline one after another. */
    TIMEOUTS,
}
