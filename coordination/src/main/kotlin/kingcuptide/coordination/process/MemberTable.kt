package kingcuptide.coordination.process

import kotlin.time.Duration

/**
 * The members of the fleet by host and by key, and the snapshot that other threads read.
 *
 * Contains the hosts of the host list, the seeds until a list arrives, this daemon itself, and for a limited time the
 * hosts removed from the list; at most [MAX_MEMBERS].
 */
internal class MemberTable(
    private val self: HostEntry,
    seeds: List<HostEntry>,
    firstIncarnation: Long,
) {
    private val byHost = LinkedHashMap<HostId, Member>()
    private val byKey = HashMap<Int, Member?>()

    /** This daemon. */
    val selfMember = Member(self, hostKey(self.host)).apply {
        isKnown = true
        incarnation = firstIncarnation
    }

    /** The other hosts of the host list. */
    var others: List<Member> = emptyList()
        private set

    /** The members in the order of the host list, including this daemon. */
    private var listed: List<Member> = emptyList()

    @Volatile
    var snapshot: FleetSnapshot = fleetSnapshot(HostList(NO_REVISION, emptyList()), emptyArray(), 0)
        private set

    /** Increases with each applied host list. */
    var listGeneration = 0
        private set

    init {
        byHost[self.host] = selfMember
        applyList(HostList(NO_REVISION, seeds), Duration.ZERO)
    }

    operator fun get(host: HostId): Member? = byHost[host]

    /** Returns the member with [key], or null if there is none or several have it. */
    fun byKey(key: Int): Member? = byKey[key]

    /** Applies [list] if it is newer than the current one; returns whether it was applied. */
    fun update(list: HostList, now: Duration): Boolean {
        val current = snapshot.hostList.revision
        if (current != NO_REVISION && list.revision <= current) return false
        applyList(list, now)
        return true
    }

    /** Removes the hosts that left the host list by [deadline], and returns them. */
    fun purgeRemoved(deadline: Duration): List<Member> {
        val purged = byHost.values.filter { member -> member.removedAt?.let { it <= deadline } ?: false }
        if (purged.isEmpty()) return purged
        purged.forEach { byHost.remove(it.host) }
        indexKeys()
        return purged
    }

    /** Publishes the current state to other threads. */
    fun publish() {
        val states = Array(listed.size) { position -> statusOf(listed[position]) }
        snapshot = snapshot.with(states)
    }

    private fun applyList(list: HostList, now: Duration) {
        val entries = withSelf(list.hosts)
        entries.forEach { entry -> applyEntry(entry) }
        markRemoved(entries, now)
        indexKeys()
        listed = entries.mapNotNull { byHost[it.host] }
        others = listed.filter { it !== selfMember }
        listGeneration++
        val states = Array(listed.size) { position -> statusOf(listed[position]) }
        snapshot = fleetSnapshot(HostList(list.revision, entries), states, snapshot.generation + 1)
    }

    private fun withSelf(hosts: List<HostEntry>): List<HostEntry> {
        val unique = hosts.distinctBy { it.host }.take(MAX_MEMBERS - 1)
        val state = unique.find { it.host == self.host }?.state
        val selfEntry = self.copy(state = state ?: self.state)
        if (state == null) return unique + selfEntry
        return unique.map { if (it.host == self.host) selfEntry else it }
    }

    private fun applyEntry(entry: HostEntry) {
        val member = byHost.getOrPut(entry.host) { Member(entry, hostKey(entry.host)) }
        member.entry = entry
        member.removedAt = null
    }

    private fun markRemoved(entries: List<HostEntry>, now: Duration) {
        val present = entries.mapTo(HashSet()) { it.host }
        byHost.values
            .filter { it.host !in present && it.removedAt == null }
            .forEach { it.removedAt = now }
        val removed = byHost.values.filter { !it.listed }.sortedBy { it.removedAt }
        removed.take(maxOf(0, byHost.size - MAX_MEMBERS)).forEach { byHost.remove(it.host) }
    }

    private fun indexKeys() {
        byKey.clear()
        for (member in byHost.values) {
            val taken = byKey.containsKey(member.key)
            byKey[member.key] = if (taken) null else member
        }
    }

    private fun statusOf(member: Member): HostStatus {
        val incarnation = if (member.isKnown) Incarnation(member.incarnation) else null
        return HostStatus(member.liveness(), incarnation, member.cold)
    }

    companion object {
        /** Maximum number of stored hosts. */
        const val MAX_MEMBERS = 4_096

        private const val NO_REVISION = 0L
    }
}
