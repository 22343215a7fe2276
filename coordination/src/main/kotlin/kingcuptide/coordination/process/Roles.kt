package kingcuptide.coordination.process

/** Liveness in which a host keeps its roles: a suspected host may only be paused. */
public val ROLE_LIVENESS: Set<Liveness> = setOf(Liveness.ALIVE, Liveness.SUSPECT)

/**
 * Returns, for each failure domain of [hosts], the first [count] hosts by rendezvous hashing for [purpose] whose
 * liveness is one of [eligible].
 *
 * Daemons with the same list and liveness choose the same hosts; while they differ, more hosts are chosen in total.
 */
public fun topByRendezvous(
    purpose: String,
    hosts: List<HostEntry>,
    liveness: (HostId) -> Liveness,
    count: Int,
    eligible: Set<Liveness> = ROLE_LIVENESS,
): Map<FailureDomainId, List<HostId>> = rankByRendezvous(purpose, hosts).first(count) { liveness(it) in eligible }

/** Orders the hosts of each failure domain for one purpose, and caches the order until the host list changes. */
public class RoleRanking(
    private val purpose: String,
) {
    @Volatile
    private var cache: RankedList? = null

    /** Like [topByRendezvous] for the host list and liveness of [fleet]. Thread-safe. */
    public fun top(
        fleet: FleetView,
        count: Int,
        eligible: Set<Liveness> = ROLE_LIVENESS,
    ): Map<FailureDomainId, List<HostId>> = ranks(fleet.hostList).first(count) { fleet.liveness(it) in eligible }

    /** Like [top], for [failureDomain] only. */
    public fun topOf(
        failureDomain: FailureDomainId,
        fleet: FleetView,
        count: Int,
        eligible: Set<Liveness> = ROLE_LIVENESS,
    ): List<HostId> = ranks(fleet.hostList).firstOf(failureDomain, count) { fleet.liveness(it) in eligible }

    private fun ranks(list: HostList): Ranks {
        val cached = cache
        if (cached != null && cached.list === list) return cached.ranks
        val ranks = rankByRendezvous(purpose, list.hosts)
        cache = RankedList(list, ranks)
        return ranks
    }
}

private class RankedList(
    val list: HostList,
    val ranks: Ranks,
)

private class Ranks(
    private val byFailureDomain: Map<FailureDomainId, List<HostId>>,
) {
    fun first(count: Int, eligible: (HostId) -> Boolean): Map<FailureDomainId, List<HostId>> =
        byFailureDomain.mapValues { (_, hosts) -> firstOf(hosts, count, eligible) }

    fun firstOf(failureDomain: FailureDomainId, count: Int, eligible: (HostId) -> Boolean): List<HostId> =
        firstOf(byFailureDomain[failureDomain].orEmpty(), count, eligible)

    private fun firstOf(hosts: List<HostId>, count: Int, eligible: (HostId) -> Boolean): List<HostId> =
        hosts.asSequence().filter(eligible).take(count).toList()
}

private fun rankByRendezvous(purpose: String, hosts: List<HostEntry>): Ranks = Ranks(
    hosts
        .groupBy { it.failureDomain }
        .mapValues { (_, entries) -> rendezvousOrder(purpose, entries.map { it.host }) },
)
