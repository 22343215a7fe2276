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
 * Finds requests that kill targets, and tells the other daemons.
 *
 * The fingerprints in flight at the death of a target become suspects everywhere; the next request with such a
 * fingerprint runs alone at its gate. With the second death in the fleet the fingerprint is quarantined. An answer
 * clears a suspect at the gate that gave it, and every record ends by itself. All methods are thread-safe; [receive] and
 * [tick] are meant for the coroutine that sends control messages.
 */
public interface SuspectTracker {
    /**
     * Returns what is held against [fingerprint]. [reported] says that an entry saw a target die with it, which makes it
     * a suspect before the news of that death arrives.
     */
    public fun verdict(fingerprint: Fingerprint, reported: Boolean = false): Verdict

    /** Records that the target beside this daemon answered a request with [fingerprint]. */
    public fun answered(fingerprint: Fingerprint)

    /** Records that the target beside this daemon died with [inFlight]; the news goes out with the next [tick]. */
    public fun targetCrashed(inFlight: Map<Fingerprint, HomeRegions>)

    /** Takes in a message of another daemon and returns what is to be sent. */
    public fun receive(from: HostId, message: QuarantineMessage): List<Outbound>

    /** Forgets what has ended, and returns what is to be sent; called about every 50 to 100 ms. */
    public fun tick(): List<Outbound>

    /** Takes over changed limits of the fleet. */
    public fun configure(limits: FleetLimits)

    /** Number of fingerprints held with each verdict. */
    public fun counts(): Map<Verdict, Int>
}

/**
 * Settings of a [SuspectTracker].
 *
 * @property suspectMs how long a fingerprint with one death stays a suspect
 * @property quarantineMs how long a fingerprint with two deaths is refused
 * @property answeredMemory how long an answer protects a fingerprint from being suspected at this daemon
 * @property fanout daemons that news is sent to at once
 * @property hops how often news is sent on
 * @property exchangeEvery interval of the comparison with one other daemon
 */
public data class SuspectSettings(
    val suspectMs: Long = 60_000,
    val quarantineMs: Long = 600_000,
    val answeredMemory: Duration = Duration.parse("60s"),
    val fanout: Int = 8,
    val hops: Int = 8,
    val exchangeEvery: Duration = Duration.parse("2s"),
)

/** Creates the tracker of the daemon that [view] is of, in its run [incarnation]. */
public fun suspectTracker(
    view: FleetView,
    incarnation: Incarnation,
    clock: Clock,
    random: Random,
    settings: SuspectSettings = SuspectSettings(),
    counters: RequestCounters = RequestCounters.NONE,
): SuspectTracker = SpreadingTracker(view, incarnation, clock, random, settings, counters)
