package kingcuptide.coordination.process

/** Beliefs of a host under which it keeps a role: a suspect may only be paused. */
public val ROLE_KEEPERS: Set<Liveness> = setOf(Liveness.ALIVE, Liveness.SUSPECT)

/**
 * Returns, for each failure domain of [hosts], the first [count] hosts by rendezvous hashing for [purpose] whose
 * liveness is one of [eligible].
 *
 * Daemons with the same list and the same beliefs choose the same hosts; daemons that differ for a while choose more.
 */
public fun topByRendezvous(
    purpose: String,
    hosts: List<HostEntry>,
    liveness: (HostId) -> Liveness,
    count: Int,
    eligible: Set<Liveness> = ROLE_KEEPERS,
): Map<FailureDomainId, List<HostId>> = rankByRendezvous(purpose, hosts).first(count) { liveness(it) in eligible }

/** Orders the hosts of each failure domain for one purpose and keeps the order for as long as the host list stays. */
public class RoleRanking(
    private val purpose: String,
) {
    @Volatile
    private var ranked: RankedList? = null

    /** Like [topByRendezvous] for the list and the beliefs of [fleet]. May be called from any thread. */
    public fun top(
        fleet: FleetView,
        count: Int,
        eligible: Set<Liveness> = ROLE_KEEPERS,
    ): Map<FailureDomainId, List<HostId>> = ranks(fleet.hostList).first(count) { fleet.liveness(it) in eligible }

    /** Like [top], for the failure domain [failureDomain] alone. */
    public fun topOf(
        failureDomain: FailureDomainId,
        fleet: FleetView,
        count: Int,
        eligible: Set<Liveness> = ROLE_KEEPERS,
    ): List<HostId> = ranks(fleet.hostList).firstOf(failureDomain, count) { fleet.liveness(it) in eligible }

    private fun ranks(list: HostList): Ranks {
        val known = ranked
        if (known != null && known.list === list) return known.ranks
        val ranks = rankByRendezvous(purpose, list.hosts)
        ranked = RankedList(list, ranks)
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
