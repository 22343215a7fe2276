package kingcuptide.coordination.process

import kotlin.time.Duration

/**
 * The members of the fleet by host and by key, and the snapshot that other threads read.
 *
 * It holds the hosts of the host list, the seeds until a list arrives, this daemon itself, and for a time the hosts
 * that
 * the list dropped; never more than [MAX_MEMBERS].
 */
internal class MemberTable(
    private val self: HostEntry,
    seeds: List<HostEntry>,
    firstIncarnation: Long,
) {
    private val byHost = LinkedHashMap<HostId, Member>()
    private val byKey = HashMap<Int, Member?>()

    /** This daemon. */
    val me = Member(self, hostKey(self.host)).apply {
        heard = true
        incarnation = firstIncarnation
    }

    /** The other hosts of the host list. */
    var others: List<Member> = emptyList()
        private set

    /** The members in the order of the host list, this daemon among them. */
    private var listed: List<Member> = emptyList()

    @Volatile
    var snapshot: FleetSnapshot = fleetSnapshot(HostList(NO_REVISION, emptyList()), emptyArray(), 0)
        private set

    /** Rises with each host list. */
    var listGeneration = 0
        private set

    init {
        byHost[self.host] = me
        adopt(HostList(NO_REVISION, seeds), Duration.ZERO)
    }

    operator fun get(host: HostId): Member? = byHost[host]

    /** Returns the member with [key], or null if there is none or if two share it. */
    fun byKey(key: Int): Member? = byKey[key]

    /** Takes [list] if it is newer than the one at hand. */
    fun update(list: HostList, now: Duration): Boolean {
        val current = snapshot.hostList.revision
        if (current != NO_REVISION && list.revision <= current) return false
        adopt(list, now)
        return true
    }

    /** Drops the hosts that went from the list before [deadline], and returns them. */
    fun forget(deadline: Duration): List<Member> {
        val gone = byHost.values.filter { member -> member.removedAt?.let { it <= deadline } ?: false }
        if (gone.isEmpty()) return gone
        gone.forEach { byHost.remove(it.host) }
        indexKeys()
        return gone
    }

    /** Makes the present state visible to other threads. */
    fun publish() {
        val states = Array(listed.size) { position -> statusOf(listed[position]) }
        snapshot = snapshot.with(states)
    }

    private fun adopt(list: HostList, now: Duration) {
        val entries = withSelf(list.hosts)
        entries.forEach { entry -> adopt(entry) }
        markRemoved(entries, now)
        indexKeys()
        listed = entries.mapNotNull { byHost[it.host] }
        others = listed.filter { it !== me }
        listGeneration++
        val states = Array(listed.size) { position -> statusOf(listed[position]) }
        snapshot = fleetSnapshot(HostList(list.revision, entries), states, snapshot.generation + 1)
    }

    private fun withSelf(hosts: List<HostEntry>): List<HostEntry> {
        val unique = hosts.distinctBy { it.host }.take(MAX_MEMBERS - 1)
        val state = unique.find { it.host == self.host }?.state
        val mine = self.copy(state = state ?: self.state)
        if (state == null) return unique + mine
        return unique.map { if (it.host == self.host) mine else it }
    }

    private fun adopt(entry: HostEntry) {
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
        val incarnation = if (member.heard) Incarnation(member.incarnation) else null
        return HostStatus(member.liveness(), incarnation, member.cold)
    }

    companion object {
        /** Greatest number of hosts that are kept. */
        const val MAX_MEMBERS = 4_096

        private const val NO_REVISION = 0L
    }
}
