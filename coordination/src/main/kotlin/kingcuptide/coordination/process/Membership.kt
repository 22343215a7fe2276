package kingcuptide.coordination.process

import kingcuptide.coordination.connection.MembershipMessage
import kingcuptide.coordination.connection.Outbound
import kotlin.random.Random

/**
 * Detects which hosts of the fleet are alive, leaving or dead, by probes, gossip and anti-entropy with peers.
 *
 * Driven from one coroutine. The members of [FleetView], [isCold], [generation], [counters] and
 * [reportConnectionFailure] may be called from any thread.
 */
public interface Membership : FleetView {
    /** Increases whenever the state of this view changes. */
    public val generation: Long

    /** Counters since the start. */
    public val counters: MembershipCounters

    /** Returns whether [host] announced that its target is in cold start. */
    public fun isCold(host: HostId): Boolean

    /** Handles [message] from [from] and returns the messages to send. */
    public fun receive(from: HostId, message: MembershipMessage): List<Outbound>

    /** Runs due work and returns the messages to send; call it every 50 to 100 ms. */
    public fun tick(): List<Outbound>

    /** Announces that this daemon stops. Call it first on a planned stop, and keep calling [tick] until the end. */
    public fun leave(): List<Outbound>

    /** Announces whether this daemon's target is in cold start. */
    public fun announceCold(cold: Boolean)

    /** Applies a host list of the platform; ignores one with an older revision than the current list. */
    public fun updateHostList(hostList: HostList)

    /** Reports that a connection to [host] failed. The host is probed soon, but not declared dead by this alone. */
    public fun reportConnectionFailure(host: HostId)
}

/**
 * Creates a [Membership] for the daemon on [self].
 *
 * @param firstIncarnation wall-clock time of the daemon's start in milliseconds; raised above any that peers remember
 */
public fun membership(
    settings: MembershipSettings,
    self: HostEntry,
    firstIncarnation: Incarnation,
    clock: Clock,
    random: Random,
): Membership = SwimMembership(settings, self, firstIncarnation, clock, random)
