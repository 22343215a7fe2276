package kingcuptide.coordination.process

import kotlin.time.Duration

/** Whether a member answers its probes. */
internal enum class Health {
    ALIVE,
    SUSPECT,
    DEAD,
}

/** What is known of one host, and the timers about it. */
internal class Member(
    var entry: HostEntry,
    val key: Int,
) {
    val host: HostId get() = entry.host
    var heard = false
    var incarnation = 0L
    var revision = 0
    var health = Health.ALIVE
    var leaving = false
    var cold = false
    var returned = false

    /** When a suspect is taken for dead. */
    var deathAt: Duration = Duration.ZERO

    /** When a suspect is probed once more. */
    var verifyAt: Duration? = null

    /** When a message arrived from the host itself. */
    var lastHeard: Duration? = null

    /** When the host was last told that it is taken for suspect or dead. */
    var lastToldAt: Duration? = null

    /** When what is believed of the host changed. */
    var changedAt: Duration = Duration.ZERO

    /** Whether the death was concluded while nobody answered this daemon. */
    var diedUnanswered = false

    /**
     * Whether the suspicion is this daemon's own doubt about an earlier verdict; an answer ends it, and nobody is
     * told.
     */
    var doubted = false

    /** Whether the host should be told what is believed of it. */
    val needsTelling: Boolean get() = health != Health.ALIVE && !doubted

    /** When the host went from the host list. */
    var removedAt: Duration? = null

    val listed: Boolean get() = removedAt == null

    /** Returns the belief that the view shows. */
    fun liveness(): Liveness = when {
        health == Health.DEAD -> Liveness.DEAD
        leaving || entry.state == HostState.LEAVING -> Liveness.LEAVING
        !heard -> Liveness.UNKNOWN
        health == Health.SUSPECT -> Liveness.SUSPECT
        else -> Liveness.ALIVE
    }
}

/** Returns the short hash by which updates name [host]. */
internal fun hostKey(host: HostId): Int = rendezvousWeight("member", host).toInt()
