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
 * What an entry asks of the chooser, all under one version of the configuration.
 *
 * @property slots requests that one warm target of the service bears
 * @property isTakenOut whether a failure domain is taken out
 * @property tried hosts that this request has been to already
 */
public data class ChoiceRequest(
    val service: ServiceId,
    val slots: Int,
    val homeRegions: HomeRegions,
    val isTakenOut: (FailureDomainId) -> Boolean,
    val tried: Set<HostId> = emptySet(),
)

/** Where a request goes. */
public sealed interface TargetChoice {
    /** Send it to the daemon on [entry]. */
    public data class Chosen(
        val entry: HostEntry,
    ) : TargetChoice

    /** No host may take it; it did not run. */
    public data class None(
        val code: ResultCode,
        val retryAfter: Duration,
    ) : TargetChoice
}

/** Whether one host of the service could take a request at this moment, and why not; [code] is null if it could. */
public data class CandidateReport(
    val entry: HostEntry,
    val code: ResultCode?,
)

/** How an attempt at a host ended, for the chooser. */
public enum class AttemptOutcome {
    /** The target answered, whatever the status. */
    ANSWERED,

    /** The gate refused because the target has enough to do. */
    REFUSED_BUSY,

    /** The daemon or its target could not be used. */
    FAILED,

    /** The caller went away or the deadline passed; it says nothing about the host. */
    ABANDONED,
}

/** Returns what a refusal or fault with [code] says of the host that it came from. */
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
 * @property slowStart time over which a new or returned host reaches its full share
 * @property failuresBeforeAside failures in a row after which a host is set aside
 * @property firstAside how long a host is set aside at first; it doubles with each time in a row up to [longestAside]
 * @property maxAsidePercent greatest share of the usable hosts of a service that are set aside at once
 * @property panicPercent below this share of usable hosts among those listed, hosts believed dead are tried now and then
 * @property probeInterval least time between two such trials of one host
 * @property loadMemory time constant with which a gate's word on its load is forgotten
 * @property limitMemory time constant with which a gate's word on its limit is forgotten
 * @property startUp time after the start of this daemon in which hosts that it sees first count as no newcomers
 */
public data class ChooserSettings(
    val slowStart: Duration = 20.seconds,
    val failuresBeforeAside: Int = 3,
    val firstAside: Duration = 1.seconds,
    val longestAside: Duration = 30.seconds,
    val maxAsidePercent: Int = 50,
    val panicPercent: Int = 40,
    val probeInterval: Duration = 2.seconds,
    val loadMemory: Duration = 500.milliseconds,
    val limitMemory: Duration = 3.seconds,
    val startUp: Duration = 5.seconds,
)
