package kingcuptide.coordination.process

import kotlin.random.Random

/**
 * Chooses the members to probe and the peers to gossip to.
 *
 * Each daemon probes its successors on the ring of its region, so that every host has known probers, and in addition
 * all members in random order, mostly those of its own region. One random probe in
 * [MembershipSettings.crossRegionProbeEvery] goes to another region; together, the daemons of the fleet thus cover each
 * failure domain.
 */
internal class ProbePlan(
    private val settings: MembershipSettings,
    private val table: MemberTable,
    private val random: Random,
) {
    private var listGeneration = -1
    private var ring: List<Member> = emptyList()
    private var ownPosition = 0
    private var regionMembers: List<Member> = emptyList()
    private var otherRegionMembers: List<Member> = emptyList()
    private val regionOrder = ArrayDeque<Member>()
    private val otherRegionsOrder = ArrayDeque<Member>()
    private var nextSlot = 0
    private var randomProbes = 0
    private var gossips = 0

    /** Number of probes in one probe interval. */
    val slots: Int get() = settings.ringSuccessors + 1

    /** Returns the next member to probe, or null if there is none. */
    fun next(): Member? {
        refresh()
        nextSlot = (nextSlot + 1) % slots
        if (nextSlot < settings.ringSuccessors) return successor(nextSlot) ?: nextRandom()
        return nextRandom()
    }

    /** Returns a random dead member, or null if there is none. */
    fun deadMember(): Member? = table.others.filter { it.health == Health.DEAD }.randomOrNull(random)

    /** Returns a random alive member of one of [failureDomains], or null if there is none. */
    fun randomMemberOf(failureDomains: Set<FailureDomainId>): Member? =
        table.others.filter { it.entry.failureDomain in failureDomains && it.isAlive() }.randomOrNull(random)

    /** Returns a peer for gossip or anti-entropy, mostly of this daemon's region, or null if none was found. */
    fun peer(): Member? {
        refresh()
        gossips++
        val crossRegion = gossips % settings.crossRegionGossipEvery == 0
        val first = if (crossRegion) otherRegionMembers else regionMembers
        val second = if (crossRegion) regionMembers else otherRegionMembers
        return randomAlive(first) ?: randomAlive(second)
    }

    /** Returns members to probe [member] on this daemon's behalf, most of them in the region of [member]. */
    fun helpers(member: Member): List<Member> {
        val sameRegion = table.others.filter { it.entry.region == member.entry.region }
        val wanted = settings.indirectProbes
        val helpers = LinkedHashSet<Member>()
        repeat(wanted * MAX_PICK_ATTEMPTS) {
            val pool = if (helpers.size < wanted - 1) sameRegion else regionMembers
            val candidate = pool.randomOrNull(random)
            val useful = candidate != null && candidate !== member && candidate.isAlive()
            if (useful && helpers.size < wanted) helpers += candidate
        }
        return helpers.toList()
    }

    private fun refresh() {
        if (listGeneration == table.listGeneration) return
        listGeneration = table.listGeneration
        val region = table.selfMember.entry.region
        regionMembers = table.others.filter { it.entry.region == region }
        otherRegionMembers = table.others.filter { it.entry.region != region }
        ring = (regionMembers + table.selfMember)
            .sortedWith(compareBy({ rendezvousWeight(RING, it.host) }, { it.host }))
        ownPosition = ring.indexOf(table.selfMember)
        regionOrder.clear()
        otherRegionsOrder.clear()
    }

    private fun successor(number: Int): Member? {
        var found = 0
        for (step in 1 until ring.size) {
            val member = ring[(ownPosition + step) % ring.size]
            if (!member.isAlive()) continue
            if (found == number) return member
            found++
        }
        return null
    }

    private fun nextRandom(): Member? {
        randomProbes++
        val crossRegion = otherRegionMembers.isNotEmpty() &&
            (regionMembers.isEmpty() || randomProbes % settings.crossRegionProbeEvery == 0)
        return if (crossRegion) nextOf(otherRegionsOrder, otherRegionMembers) else nextOf(regionOrder, regionMembers)
    }

    private fun nextOf(order: ArrayDeque<Member>, all: List<Member>): Member? {
        repeat(2) {
            while (order.isNotEmpty()) {
                val member = order.removeFirst()
                if (member.health != Health.DEAD) return member
            }
            order += all.shuffled(random)
        }
        return null
    }

    private fun randomAlive(pool: List<Member>): Member? {
        repeat(MAX_PICK_ATTEMPTS) {
            val candidate = pool.randomOrNull(random) ?: return null
            if (candidate.isAlive()) return candidate
        }
        return null
    }

    private fun Member.isAlive(): Boolean = health == Health.ALIVE

    private companion object {
        const val RING = "ring"
        const val MAX_PICK_ATTEMPTS = 8
    }
}
