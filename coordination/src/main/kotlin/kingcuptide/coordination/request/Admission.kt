package kingcuptide.coordination.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kotlin.time.Duration

/**
 * Properties of a request that an [AdmissionGate] decides on.
 *
 * @property homeRegions regions that may serve the request
 * @property remaining time until the deadline, with the time spent in buffers already subtracted
 * @property suspect whether the entry retries this request after a target crashed with it in flight
 */
public data class AdmissionRequest(
    val route: RouteId,
    val homeRegions: HomeRegions,
    val remaining: Duration,
    val fingerprint: Fingerprint,
    val suspect: Boolean = false,
)

/** The gate's decision on a request. */
public sealed interface Admission {
    /**
     * The request may be sent to the target now. The caller must finish [ticket] as soon as the target no longer works
     * on the request, and not before.
     */
    public data class Admitted(
        val ticket: AdmissionTicket,
    ) : Admission

    /** The request is queued; the callback passed to the gate receives [Admitted] or [Refused], once. */
    public data class Queued(
        val entry: QueuedAdmission,
    ) : Admission

    /** The request did not run and will not run. */
    public data class Refused(
        val code: ResultCode,
        val retryAfter: Duration,
        val outcome: Outcome = Outcome.NOT_RUN,
    ) : Admission
}

/** A request in the gate's queue. */
public interface QueuedAdmission {
    /**
     * Removes the request from the queue. Returns true if it will never be admitted and its callback never called, and
     * false if the gate has already decided; the callback then receives the decision, and its ticket must be finished.
     */
    public fun cancel(): Boolean
}

/** Permission to use one slot of the target. */
public interface AdmissionTicket {
    /** Releases the slot; calls after the first have no effect. */
    public fun finish(result: TargetResult)
}

/** Result of a request at a target, as seen by the daemon beside it. */
public sealed interface TargetResult {
    /** The complete response was received. */
    public data class Answered(
        val status: Int,
    ) : TargetResult

    /** The target did not accept a connection, so no byte of the request reached it. */
    public data object ConnectRefused : TargetResult

    /** The connection closed or failed after bytes of the request were sent. */
    public data object ConnectionLost : TargetResult

    /** The deadline passed before the complete response, and the target was sent a cancellation. */
    public data object TimedOut : TargetResult

    /** The caller disconnected, and the target was sent a cancellation. */
    public data object Cancelled : TargetResult
}

/** Why the gate lowered its concurrency limit. */
public enum class LimitCutReason {
    /** The target refused a connection, or the connections of all requests in flight were lost. */
    TARGET_DIED,

    /** The health check detected a start of the target. */
    TARGET_STARTED,

    /** The failure domain was taken out and is in use again. */
    DOMAIN_RETURNED,

    /** The target responded that it is overloaded. */
    OVERLOAD_ANSWER,

    /** Latency was far above the baseline, or requests in flight stalled. */
    LATENCY,

    /** Several requests in a row exceeded their deadline. */
    TIMEOUTS,
}
