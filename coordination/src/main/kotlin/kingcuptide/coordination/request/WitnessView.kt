package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.rendezvousWeight
import kingcuptide.coordination.version.FailureDomainSpec

/**
 * What a daemon derives the witnesses of a key from: the failure domains of the document and the hosts in each.
 *
 * Whether a host is alive does not matter here, so that a death moves no key. Equal views give equal witnesses.
 */
public class WitnessView internal constructor(
    private val regions: Map<FailureDomainId, RegionId>,
    private val hosts: Map<FailureDomainId, List<HostId>>,
) {
    /**
     * Returns the witnesses of [keyHash] by slot, all in [homeRegions]; null where a slot has no host.
     *
     * The failure domains are fixed by the document, and only the host within each depends on the host list. A domain
     * whose hosts all leave the list keeps its slot; otherwise two sides of a partition could each complete a quorum.
     */
    public fun witnesses(
        keyHash: String,
        homeRegions: Set<RegionId>,
    ): List<HostId?> {
        val domains = regions.keys
            .filter { homeRegions.isEmpty() || regions[it] in homeRegions }
            .sortedWith(compareByDescending<FailureDomainId> { domainWeight(keyHash, it) }.thenBy { it.value })
        if (domains.isEmpty()) {
            return List(WITNESS_SLOTS) { null }
        }
        return List(WITNESS_SLOTS) { slot ->
            hostInDomain(keyHash, domains[slot % domains.size], rank = slot / domains.size)
        }
    }

    private fun domainWeight(
        keyHash: String,
        domain: FailureDomainId,
    ): ULong = rendezvousWeight(keyHash, HostId(domain.value))

    private fun hostInDomain(
        keyHash: String,
        domain: FailureDomainId,
        rank: Int,
    ): HostId? {
        val candidates = hosts[domain].orEmpty()
        val order = compareBy<HostId> { rendezvousWeight(keyHash, it) }.thenByDescending { it }
        if (rank == 0) {
            return candidates.maxWithOrNull(order)
        }
        return candidates.sortedWith(order.reversed()).getOrNull(rank)
    }

    override fun equals(other: Any?): Boolean =
        other is WitnessView && regions == other.regions && hosts == other.hosts

    override fun hashCode(): Int = 31 * regions.hashCode() + hosts.hashCode()
}

/** How many witnesses a key has. */
public const val WITNESS_SLOTS: Int = 3

/** How many witnesses must grant a claim: any two such sets of one list share a witness. */
public const val WITNESS_QUORUM: Int = 2

/** Derives a view from [hostList] and the document's [failureDomains]; without those, from the list's own domains. */
public fun witnessView(
    hostList: HostList,
    failureDomains: Map<FailureDomainId, FailureDomainSpec>,
): WitnessView {
    val regions = if (failureDomains.isEmpty()) {
        hostList.hosts.associate { it.failureDomain to it.region }
    } else {
        failureDomains.mapValues { (_, spec) -> spec.region }
    }
    val hosts = hostList.hosts
        .groupBy({ it.failureDomain }, { it.host })
        .mapValues { (_, names) -> names.sorted() }
    return WitnessView(regions, hosts)
}
