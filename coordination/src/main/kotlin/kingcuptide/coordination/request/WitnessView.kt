package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.rendezvousSeed
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
    private val domains = regions.map { (id, region) -> Domain(id, region, hosts[id].orEmpty()) }

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
        val keySeed = rendezvousSeed(keyHash)
        val order = domains
            .filter { homeRegions.isEmpty() || it.region in homeRegions }
            .map { it to rendezvousWeight(keySeed, it.seed) }
            .sortedWith(compareByDescending<Pair<Domain, ULong>> { it.second }.thenBy { it.first.id.value })
        if (order.isEmpty()) {
            return List(WITNESS_SLOTS) { null }
        }
        return List(WITNESS_SLOTS) { slot -> order[slot % order.size].first.host(keySeed, rank = slot / order.size) }
    }

    override fun equals(other: Any?): Boolean =
        other is WitnessView && regions == other.regions && hosts == other.hosts

    override fun hashCode(): Int = 31 * regions.hashCode() + hosts.hashCode()

    private class Domain(
        val id: FailureDomainId,
        val region: RegionId,
        private val hosts: List<HostId>,
    ) {
        val seed = rendezvousSeed(id.value)
        private val hostSeeds = ULongArray(hosts.size) { rendezvousSeed(hosts[it].value) }

        /** Returns the host of the given [rank] for a key, or null if there are not so many. */
        fun host(
            keySeed: ULong,
            rank: Int,
        ): HostId? {
            if (rank == 0) {
                return greatest(keySeed)
            }
            return hosts.indices
                .sortedByDescending { rendezvousWeight(keySeed, hostSeeds[it]) }
                .getOrNull(rank)
                ?.let { hosts[it] }
        }

        private fun greatest(keySeed: ULong): HostId? {
            var greatest = -1
            var greatestWeight = 0uL
            for (index in hosts.indices) {
                val weight = rendezvousWeight(keySeed, hostSeeds[index])
                if (greatest < 0 || weight > greatestWeight) {
                    greatest = index
                    greatestWeight = weight
                }
            }
            return hosts.getOrNull(greatest)
        }
    }
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
