package kingcuptide.coordination.process

import kingcuptide.coordination.connection.MembershipMessage
import kingcuptide.coordination.connection.Outbound
import kotlin.random.Random

/**
 * Finds out which hosts of the fleet are alive, leaving or dead, by probes, gossip and comparison with peers.
 *
 * It is driven from one coroutine. What [FleetView] offers, [isCold], [generation], [counters] and [reportConnectionFailure] may
 * be called from any thread.
 */
public interface Membership : FleetView {
    /** Rises whenever an answer of this view changes. */
    public val generation: Long

    /** Counts since the start. */
    public val counters: MembershipCounters

    /** Returns whether [host] said that its target is in cold start. */
    public fun isCold(host: HostId): Boolean

    /** Takes a message that arrived from [from] and returns what to send in turn. */
    public fun receive(from: HostId, message: MembershipMessage): List<Outbound>

    /** Runs what is due; call it every 50 to 100 ms. */
    public fun tick(): List<Outbound>

    /** Announces that this daemon stops. Call it first on a planned stop, and go on with [tick] until the end. */
    public fun leave(): List<Outbound>

    /** Announces whether this daemon's target is in cold start. */
    public fun announceCold(cold: Boolean)

    /** Takes a host list of the platform; one with an older revision than the list at hand changes nothing. */
    public fun updateHostList(hostList: HostList)

    /** Says that a connection to [host] failed; the host is probed soon, and never taken for dead on this alone. */
    public fun reportConnectionFailure(host: HostId)
}

/**
 * Creates a [Membership] for the daemon on [self].
 *
 * @param firstIncarnation wall-clock time of the daemon's start in milliseconds; it rises above whatever peers remember
 */
public fun membership(
    settings: MembershipSettings,
    self: HostEntry,
    firstIncarnation: Incarnation,
    clock: Clock,
    random: Random,
): Membership = SwimMembership(settings, self, firstIncarnation, clock, random)
