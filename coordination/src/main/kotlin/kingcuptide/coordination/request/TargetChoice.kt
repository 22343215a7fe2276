package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Input of a [TargetChooser], all from one version of the configuration.
 *
 * @property slots number of concurrent requests of one warm target of the service
 * @property isTakenOut whether a failure domain is taken out
 * @property tried hosts to which this request has already been sent
 */
public data class ChoiceRequest(
    val service: ServiceId,
    val slots: Int,
    val homeRegions: HomeRegions,
    val isTakenOut: (FailureDomainId) -> Boolean,
    val tried: Set<HostId> = emptySet(),
)

/** Where a request is sent. */
public sealed interface TargetChoice {
    /** The request is sent to the daemon on host [entry]. */
    public data class Chosen(
        val entry: HostEntry,
    ) : TargetChoice

    /** No host may serve the request; it did not run. */
    public data class None(
        val code: ResultCode,
        val retryAfter: Duration,
    ) : TargetChoice
}

/** Whether a host of the service can serve a request now; [code] is the reason why not, or null if it can. */
public data class CandidateReport(
    val entry: HostEntry,
    val code: ResultCode?,
)

/** Outcome of an attempt at a host, as the chooser records it. */
public enum class AttemptOutcome {
    /** The target responded, with any status. */
    ANSWERED,

    /** The gate refused because the target is at its limit. */
    REFUSED_BUSY,

    /** The daemon or its target could not serve the request. */
    FAILED,

    /** The caller disconnected or the deadline passed, which is no evidence about the host. */
    ABANDONED,
}

/** Returns the outcome to record for the host whose refusal or fault had [code]. */
public fun attemptOutcomeOf(code: ResultCode): AttemptOutcome =
    when (code) {
        ResultCode.TARGET_FULL, ResultCode.TARGET_COLD, ResultCode.SUSPECT_BUSY, ResultCode.TARGET_OVERLOADED,
        -> AttemptOutcome.REFUSED_BUSY

        ResultCode.DRAINING, ResultCode.FAILURE_DOMAIN_TAKEN_OUT, ResultCode.STALE_FRAME, ResultCode.AWAKENING,
        ResultCode.TARGET_DOWN, ResultCode.PEER_UNREACHABLE, ResultCode.VERSION_BEHIND, ResultCode.ANSWER_LOST,
        ResultCode.ANSWER_TRUNCATED, ResultCode.TARGET_DIED,
        -> AttemptOutcome.FAILED

        else -> AttemptOutcome.ABANDONED
    }

/**
 * Settings of a [TargetChooser].
 *
 * @property slowStart time in which a new or returned host reaches its full weight
 * @property failuresBeforeEjection consecutive failures after which a host is ejected
 * @property baseEjectionTime duration of a first ejection; it doubles with each consecutive one up to [maxEjectionTime]
 * @property maxEjectedPercent upper bound of the share of a service's hosts that are ejected at once
 * @property panicThresholdPercent share of usable hosts below which hosts that seem dead or are ejected are probed
 * @property probeInterval minimum time between two such probes of one host
 * @property loadTimeConstant time constant of the decay of a load reported by a gate
 * @property limitTimeConstant time constant of the decay of a limit reported by a gate
 * @property startupWindow time after the start of this daemon in which newly listed hosts get no slow start
 */
public data class ChooserSettings(
    val slowStart: Duration = 20.seconds,
    val failuresBeforeEjection: Int = 3,
    val baseEjectionTime: Duration = 1.seconds,
    val maxEjectionTime: Duration = 30.seconds,
    val maxEjectedPercent: Int = 50,
    val panicThresholdPercent: Int = 40,
    val probeInterval: Duration = 2.seconds,
    val loadTimeConstant: Duration = 500.milliseconds,
    val limitTimeConstant: Duration = 3.seconds,
    val startupWindow: Duration = 5.seconds,
)
