package kingcuptide.coordination.process

import kotlin.random.Random

/**
 * Chooses whom to probe and whom to tell.
 *
 * Each daemon probes its successors on the ring of its region, so that every host has known probers, and besides the
 * members in random order, mostly of its own region. Members of other regions get one probe in
 * [MembershipSettings.crossRegionProbeEvery], of which the fleet's daemons together make enough to cover each failure
 * domain.
 */
internal class ProbePlan(
    private val settings: MembershipSettings,
    private val table: MemberTable,
    private val random: Random,
) {
    private var listGeneration = -1
    private var ring: List<Member> = emptyList()
    private var ownPosition = 0
    private var near: List<Member> = emptyList()
    private var far: List<Member> = emptyList()
    private val nearOrder = ArrayDeque<Member>()
    private val farOrder = ArrayDeque<Member>()
    private var slot = 0
    private var randomProbes = 0
    private var gossips = 0

    /** Number of probes in one probe interval. */
    val slots: Int get() = settings.ringSuccessors + 1

    /** Returns the member whose turn it is, or null if there is none. */
    fun next(): Member? {
        refresh()
        slot = (slot + 1) % slots
        if (slot < settings.ringSuccessors) return successor(slot) ?: nextRandom()
        return nextRandom()
    }

    /** Returns a random member that is taken for dead, or null. */
    fun deadMember(): Member? = table.others.filter { it.health == Health.DEAD }.randomOrNull(random)

    /** Returns a random member of one of [failureDomains] that is not suspected, or null. */
    fun memberOf(failureDomains: Set<FailureDomainId>): Member? =
        table.others.filter { it.entry.failureDomain in failureDomains && it.mayAnswer() }.randomOrNull(random)

    /** Returns a peer for gossip or comparison, mostly of the own region. */
    fun peer(): Member? {
        refresh()
        gossips++
        val crosses = gossips % settings.crossRegionGossipEvery == 0
        val first = if (crosses) far else near
        val second = if (crosses) near else far
        return pick(first) ?: pick(second)
    }

    /** Returns hosts to probe [target] on this daemon's behalf, most of them near the target. */
    fun helpers(target: Member): List<Member> {
        val besideTarget = table.others.filter { it.entry.region == target.entry.region }
        val wanted = settings.indirectProbes
        val helpers = LinkedHashSet<Member>()
        repeat(wanted * ATTEMPTS) {
            val pool = if (helpers.size < wanted - 1) besideTarget else near
            val candidate = pool.randomOrNull(random)
            val useful = candidate != null && candidate !== target && candidate.mayAnswer()
            if (useful && helpers.size < wanted) helpers += candidate
        }
        return helpers.toList()
    }

    private fun refresh() {
        if (listGeneration == table.listGeneration) return
        listGeneration = table.listGeneration
        val region = table.me.entry.region
        near = table.others.filter { it.entry.region == region }
        far = table.others.filter { it.entry.region != region }
        ring = (near + table.me).sortedWith(compareBy({ rendezvousWeight(RING, it.host) }, { it.host }))
        ownPosition = ring.indexOf(table.me)
        nearOrder.clear()
        farOrder.clear()
    }

    private fun successor(number: Int): Member? {
        var found = 0
        for (step in 1 until ring.size) {
            val member = ring[(ownPosition + step) % ring.size]
            if (!member.mayAnswer()) continue
            if (found == number) return member
            found++
        }
        return null
    }

    private fun nextRandom(): Member? {
        randomProbes++
        val crosses = far.isNotEmpty() && (near.isEmpty() || randomProbes % settings.crossRegionProbeEvery == 0)
        return if (crosses) nextOf(farOrder, far) else nextOf(nearOrder, near)
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

    private fun pick(pool: List<Member>): Member? {
        repeat(ATTEMPTS) {
            val candidate = pool.randomOrNull(random) ?: return null
            if (candidate.mayAnswer()) return candidate
        }
        return null
    }

    private fun Member.mayAnswer(): Boolean = health == Health.ALIVE

    private companion object {
        const val RING = "ring"
        const val ATTEMPTS = 8
    }
}
