package kingcuptide.coordination.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of an [AdmissionGate].
 *
 * @property maxQueueWait longest time that a request waits in the gate's queue
 * @property maxExclusiveWait longest time that a suspect request waits until no other request is in flight
 * @property maxExclusivePercent upper bound of the share of time in which the target is reserved for suspect requests
 * @property minPauseGap shortest gap between two calls of `tick` that counts as a pause of this process
 */
public data class GateSettings(
    val maxQueueWait: Duration = 200.milliseconds,
    val maxExclusiveWait: Duration = 1_000.milliseconds,
    val maxExclusivePercent: Int = 20,
    val minPauseGap: Duration = 500.milliseconds,
)

/** What the gate needs from the rest of the daemon; called on the request path, so implementations must not block. */
public interface GateDependencies {
    /** Whether this daemon's configuration is fresh enough to accept new work. */
    public fun canAcceptWork(): Boolean

    /** Whether this host's failure domain is taken out under the configuration in force. */
    public fun isTakenOut(): Boolean

    /** Returns this daemon's verdict on [fingerprint]; [reported] means that the entry saw a target crash with it. */
    public fun verdict(fingerprint: Fingerprint, reported: Boolean): Verdict

    /** Records that a request with [fingerprint] got a response. */
    public fun answered(fingerprint: Fingerprint)

    /** Records that the target crashed with [inFlight]; called once for each crash. */
    public fun targetCrashed(inFlight: Map<Fingerprint, HomeRegions>)
}
