package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId

/** Where a host is in relation to the entry. */
internal enum class Locality { OWN_FAILURE_DOMAIN, OWN_REGION, OTHER_REGIONS }

/** A failure domain's share of all entries, the [demand], and of the [capacity] of the service; both from 0 to 1. */
internal data class DomainShare(
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val demand: Double,
    val capacity: Double,
)

/**
 * Shares of an entry's requests for each locality, so that load is proportional to capacity if all entries use them.
 *
 * Requests stay in the entry's own failure domain up to its capacity. The excess goes to spare capacity in the own
 * region, and only the rest of that to other regions. The shares change continuously with the capacities: a failure
 * domain with few targets keeps few requests instead of none or all. A [capacityFactor] above 1 keeps more requests
 * local while the targets there are idle.
 */
internal class LocalityShares(
    private val domains: List<DomainShare>,
    private val ownDomain: FailureDomainId,
    private val ownRegion: RegionId,
    private val capacityFactor: Double = 1.0,
) {
    /** Share of the requests that stay in the own failure domain. */
    val ownFailureDomain: Double = shareWithin(domains.filter { it.failureDomain == ownDomain })

    /** Share of the requests that leave the own failure domain and stay in the own region. */
    val ownRegionOnly: Double = (1 - ownFailureDomain) * regionShareWithin()

    /** Returns the capacity that [domain] has left for requests of other failure domains. */
    fun spareCapacity(domain: FailureDomainId): Double =
        domains.filter { it.failureDomain == domain }.sumOf { spareCapacity(it) }

    private fun spareCapacity(share: DomainShare): Double = maxOf(0.0, share.capacity * capacityFactor - share.demand)

    private fun shareWithin(localDomains: List<DomainShare>): Double {
        val demand = localDomains.sumOf { it.demand }
        val capacity = localDomains.sumOf { it.capacity } * capacityFactor
        if (capacity <= 0) return 0.0
        return if (demand <= capacity) 1.0 else capacity / demand
    }

    private fun regionShareWithin(): Double {
        val regionDomains = domains.filter { it.region == ownRegion }
        val excessDemand = regionDomains.sumOf { maxOf(0.0, it.demand - it.capacity * capacityFactor) }
        val totalSpare = regionDomains.sumOf { spareCapacity(it) }
        if (totalSpare <= 0) return 0.0
        return if (excessDemand <= totalSpare) 1.0 else totalSpare / excessDemand
    }
}
