package kingcuptide.coordination.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kotlin.time.Duration

/**
 * Decides when a restarted daemon may serve: once it has the newest version that the witnesses know of.
 *
 * It needs replies from so many witnesses that at least one of them has every version that this host has ever served.
 * Without these replies it serves the newest version that it knows of after the join wait. Not thread-safe.
 */
internal class JoinQuorum(
    private val clock: Clock,
    private val roles: DistributionRoles,
    private val settings: VersionSettings,
    private val counters: VersionCounters,
) {
    private val repliedWitnesses = HashSet<HostId>()
    private var startedAt = clock.now()
    private var quorumWaitSince: Duration? = null

    /** Whether this daemon may serve; once true, it stays true. */
    var isJoined: Boolean = false
        private set

    /** Whether this daemon has joined without replies of enough witnesses. */
    var isUnwitnessed: Boolean = false
        private set

    /** Greatest document number that is known to be in force on any host. */
    var seenNumber: Long? = null
        private set

    /** Records that [number] is in force on some host. */
    fun recordSeen(number: Long?) {
        if (number == null) return
        seenNumber = maxOf(number, seenNumber ?: number)
    }

    /** Records that [host], which has itself joined, has replied. */
    fun recordReply(host: HostId) {
        if (isJoined || roles.witnesses().none { it.host == host }) return
        repliedWitnesses += host
    }

    /** Returns the witnesses that have not replied yet. */
    fun pendingWitnesses(): List<HostId> = roles.witnesses().map { it.host }.filterNot { it in repliedWitnesses }

    /** Restarts the join wait after a pause of this process. */
    fun restart() {
        startedAt = clock.now()
        quorumWaitSince = quorumWaitSince?.let { startedAt }
    }

    /** Decides whether this daemon may serve with [newestNumber] as its newest document; returns true when it joins. */
    fun advance(newestNumber: Long?, isHostListNewest: Boolean): Boolean {
        if (isJoined) return false
        val now = clock.now()
        if (isHostListNewest && quorumWaitSince == null) quorumWaitSince = now
        if (newestNumber == null) return false
        if (now - (quorumWaitSince ?: startedAt) >= settings.joinContentWait) return markJoined(isWitnessed = false)
        if (newestNumber < (seenNumber ?: newestNumber)) return false
        val waitSince = quorumWaitSince ?: return false
        if (isHostListNewest && hasQuorum()) return markJoined(isWitnessed = true)
        return now - waitSince >= settings.joinWait && markJoined(isWitnessed = false)
    }

    private fun hasQuorum(): Boolean {
        val witnesses = roles.witnesses()
        return witnesses.count { it.host in repliedWitnesses } >= joinQuorumSize(witnesses.size, settings)
    }

    private fun markJoined(isWitnessed: Boolean): Boolean {
        isJoined = true
        isUnwitnessed = !isWitnessed
        repliedWitnesses.clear()
        counters.count(if (isWitnessed) VersionEvent.JOINED else VersionEvent.JOINED_UNWITNESSED)
        return true
    }
}
