package kingcuptide.coordination.process

import kotlin.time.Duration

/** Health of a member according to its probes. */
internal enum class Health {
    ALIVE,
    SUSPECT,
    DEAD,
}

/** Known state of one host, and its timers. */
internal class Member(
    var entry: HostEntry,
    val key: Int,
) {
    val host: HostId get() = entry.host
    var isKnown = false
    var incarnation = 0L
    var revision = 0
    var health = Health.ALIVE
    var leaving = false
    var cold = false
    var rejoined = false

    /** When a suspected member is declared dead. */
    var deadAt: Duration = Duration.ZERO

    /** When a suspected member is probed again; null if no further probe is due. */
    var nextProbeAt: Duration? = null

    /** When the last message from the host itself arrived. */
    var lastMessageAt: Duration? = null

    /** When the host was last notified that it is suspected or declared dead. */
    var lastNotifiedAt: Duration? = null

    /** When the known state of the host last changed. */
    var changedAt: Duration = Duration.ZERO

    /** Whether the member was declared dead while this daemon itself was isolated. */
    var deadWhileIsolated = false

    /** Whether the member is suspected only to recheck an earlier verdict; an ack ends it, and nobody is notified. */
    var isRecheck = false

    /** Whether the host should be notified of its known state. */
    val needsNotification: Boolean get() = health != Health.ALIVE && !isRecheck

    /** When the host was removed from the host list, or null. */
    var removedAt: Duration? = null

    val listed: Boolean get() = removedAt == null

    /** Returns the liveness that [FleetView] reports. */
    fun liveness(): Liveness = when {
        health == Health.DEAD -> Liveness.DEAD
        leaving || entry.state == HostState.LEAVING -> Liveness.LEAVING
        !isKnown -> Liveness.UNKNOWN
        health == Health.SUSPECT -> Liveness.SUSPECT
        else -> Liveness.ALIVE
    }
}

/** Returns the short hash that identifies [host] in updates. */
internal fun hostKey(host: HostId): Int = rendezvousWeight("member", host).toInt()
