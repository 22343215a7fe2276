package kingcuptide.coordination.request

import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.QuarantineMessage
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.version.FleetLimits
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Finds requests that crash targets, and shares this knowledge with the other daemons.
 *
 * The fingerprints in flight when a target crashes become suspects at all daemons; the next request with such a
 * fingerprint runs alone at its gate. After the second crash in the fleet the fingerprint is quarantined. A response
 * clears a suspect at the gate that returned it, and every record expires. All methods are thread-safe; [receive] and
 * [tick] are meant for the coroutine that sends control messages.
 */
public interface SuspectTracker {
    /**
     * Returns the verdict on [fingerprint]. [reported] means that an entry saw a target crash with it, which makes it a
     * suspect before the update about that crash arrives.
     */
    public fun verdict(fingerprint: Fingerprint, reported: Boolean = false): Verdict

    /** Records that the target beside this daemon responded to a request with [fingerprint]. */
    public fun answered(fingerprint: Fingerprint)

    /** Records that the target beside this daemon crashed with [inFlight]; the next [tick] returns the update. */
    public fun targetCrashed(inFlight: Map<Fingerprint, HomeRegions>)

    /** Handles a message of another daemon and returns the messages to send. */
    public fun receive(from: HostId, message: QuarantineMessage): List<Outbound>

    /** Removes expired records and returns the messages to send; call it about every 50 to 100 ms. */
    public fun tick(): List<Outbound>

    /** Applies changed limits of the fleet. */
    public fun configure(limits: FleetLimits)

    /** Number of stored fingerprints by verdict. */
    public fun counts(): Map<Verdict, Int>
}

/**
 * Settings of a [SuspectTracker].
 *
 * @property suspectMs how long a fingerprint with one crash stays a suspect
 * @property quarantineMs how long a fingerprint with two crashes is refused
 * @property responseRetention how long a response protects a fingerprint from being suspected at this daemon
 * @property fanout number of daemons that an update is sent to at once
 * @property hops how often an update is forwarded
 * @property exchangeInterval mean interval of the digest exchange with one other daemon
 */
public data class SuspectSettings(
    val suspectMs: Long = 60_000,
    val quarantineMs: Long = 600_000,
    val responseRetention: Duration = Duration.parse("60s"),
    val fanout: Int = 8,
    val hops: Int = 8,
    val exchangeInterval: Duration = Duration.parse("2s"),
)

/** Creates the tracker of the daemon that [view] belongs to, for its process [incarnation]. */
public fun suspectTracker(
    view: FleetView,
    incarnation: Incarnation,
    clock: Clock,
    random: Random,
    settings: SuspectSettings = SuspectSettings(),
    counters: RequestCounters = RequestCounters.NONE,
): SuspectTracker = GossipSuspectTracker(view, incarnation, clock, random, settings, counters)
