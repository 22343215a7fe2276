package kingcuptide.coordination.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kotlin.time.Duration

/**
 * Decides when a restarted daemon may serve: once it holds the newest version that the witnesses know of.
 *
 * It needs the answers of so many witnesses that one of them must hold whatever this host has ever served. Without them
 * it serves the newest version it has heard of after the join wait. Not thread-safe.
 */
internal class JoinQuorum(
    private val clock: Clock,
    private val roles: SpreadRoles,
    private val settings: VersionSettings,
    private val counters: VersionCounters,
) {
    private val answered = HashSet<HostId>()
    private var startedAt = clock.now()
    private var askedSince: Duration? = null

    /** Whether this daemon may serve. Never returns to false. */
    var isJoined: Boolean = false
        private set

    /** Whether it was joined without the answers of enough witnesses. */
    var isUnwitnessed: Boolean = false
        private set

    /** The greatest document number that is known to be in force somewhere. */
    var seenNumber: Long? = null
        private set

    /** Notes that [number] is in force somewhere. */
    fun noteSeen(number: Long?) {
        if (number == null) return
        seenNumber = maxOf(number, seenNumber ?: number)
    }

    /** Notes that [host], which is itself joined, has answered. */
    fun noteAnswer(host: HostId) {
        if (isJoined || roles.witnesses().none { it.host == host }) return
        answered += host
    }

    /** The witnesses that have not answered yet. */
    fun unanswered(): List<HostId> = roles.witnesses().map { it.host }.filterNot { it in answered }

    /** Starts waiting anew, because this process was paused. */
    fun restart() {
        startedAt = clock.now()
        askedSince = askedSince?.let { startedAt }
    }

    /** Checks whether this daemon may serve, holding the document [newestNumber]; returns true once, when it may. */
    fun advance(newestNumber: Long?, isHostListNewest: Boolean): Boolean {
        if (isJoined) return false
        val now = clock.now()
        if (isHostListNewest && askedSince == null) askedSince = now
        if (newestNumber == null) return false
        if (now - (askedSince ?: startedAt) >= settings.joinGiveUp) return joined(isWitnessed = false)
        if (newestNumber < (seenNumber ?: newestNumber)) return false
        val asked = askedSince ?: return false
        if (isHostListNewest && hasQuorum()) return joined(isWitnessed = true)
        return now - asked >= settings.joinWait && joined(isWitnessed = false)
    }

    private fun hasQuorum(): Boolean {
        val witnesses = roles.witnesses()
        return witnesses.count { it.host in answered } >= joinQuorumOf(witnesses.size, settings)
    }

    private fun joined(isWitnessed: Boolean): Boolean {
        isJoined = true
        isUnwitnessed = !isWitnessed
        answered.clear()
        counters.count(if (isWitnessed) VersionEvent.JOINED else VersionEvent.JOINED_UNWITNESSED)
        return true
    }
}
