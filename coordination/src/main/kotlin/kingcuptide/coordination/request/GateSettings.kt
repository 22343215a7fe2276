package kingcuptide.coordination.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of an [AdmissionGate].
 *
 * @property maxQueueWait longest time that a request waits at the gate
 * @property maxAloneWait longest time that a suspect request waits for the target to be empty
 * @property aloneSharePercent greatest share of time in which suspect requests hold the target for themselves
 * @property pauseAfter a gap between two calls of `tick` this long means that this process was paused
 */
public data class GateSettings(
    val maxQueueWait: Duration = 200.milliseconds,
    val maxAloneWait: Duration = 1_000.milliseconds,
    val aloneSharePercent: Int = 20,
    val pauseAfter: Duration = 500.milliseconds,
)

/** What the gate asks the rest of the daemon; called on the request path, so the answers must be at hand. */
public interface GateDependencies {
    /** Whether this daemon's knowledge is fresh enough to take new work. */
    public fun canAcceptWork(): Boolean

    /** Whether this host's failure domain is taken out under the configuration in force. */
    public fun isTakenOut(): Boolean

    /** What this daemon holds against [fingerprint]; [reported] says that the entry saw a target die with it. */
    public fun verdict(fingerprint: Fingerprint, reported: Boolean): Verdict

    /** A request with [fingerprint] was answered. */
    public fun answered(fingerprint: Fingerprint)

    /** The target died with [inFlight]; called once for each death. */
    public fun targetCrashed(inFlight: Map<Fingerprint, HomeRegions>)
}
