package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.rendezvousSeed
import kingcuptide.coordination.process.rendezvousWeight
import kingcuptide.coordination.version.FailureDomainSpec

/**
 * Input from which a daemon derives the witnesses of a key: the failure domains of the document and the hosts in each.
 *
 * Liveness is ignored, so that a host failure does not move any key. Equal views give equal witnesses.
 */
public class WitnessView internal constructor(
    private val regions: Map<FailureDomainId, RegionId>,
    private val hosts: Map<FailureDomainId, List<HostId>>,
) {
    private val domains = regions.map { (id, region) -> Domain(id, region, hosts[id].orEmpty()) }

    /**
     * Returns the witnesses of [keyHash] by slot, all in [homeRegions]; null where a slot has no host.
     *
     * The document determines the failure domains; only the host within each depends on the host list. A domain whose
     * hosts all leave the list keeps its slot; otherwise both sides of a partition could each reach a quorum.
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

        /** Returns the host of the given [rank] for a key, from 0, or null if there are not enough hosts. */
        fun host(
            keySeed: ULong,
            rank: Int,
        ): HostId? {
            if (rank == 0) {
                return hostWithHighestWeight(keySeed)
            }
            return hosts.indices
                .sortedByDescending { rendezvousWeight(keySeed, hostSeeds[it]) }
                .getOrNull(rank)
                ?.let { hosts[it] }
        }

        private fun hostWithHighestWeight(keySeed: ULong): HostId? {
            var highestIndex = -1
            var highestWeight = 0uL
            for (index in hosts.indices) {
                val weight = rendezvousWeight(keySeed, hostSeeds[index])
                if (highestIndex < 0 || weight > highestWeight) {
                    highestIndex = index
                    highestWeight = weight
                }
            }
            return hosts.getOrNull(highestIndex)
        }
    }
}

/** Number of witnesses of a key. */
public const val WITNESS_SLOTS: Int = 3

/** Number of witnesses that must grant a claim: any two quorums of one host list share a witness. */
public const val WITNESS_QUORUM: Int = 2

/** Derives a view from [hostList] and the document's [failureDomains]; if those are empty, from the list's domains. */
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
