package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId

/** How near a host is to the entry. */
internal enum class Locality { OWN_FAILURE_DOMAIN, OWN_REGION, OTHER_REGIONS }

/** A failure domain's share of all entries, which send requests, and of the capacity of the service, which takes them. */
internal data class DomainShare(
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val demand: Double,
    val capacity: Double,
)

/**
 * Shares of an entry's requests for each locality, so that every target gets its part if all entries do the same.
 *
 * What the own failure domain can take stays there. What is over goes to where in the own region capacity is left, and
 * only the rest of that to other regions. The shares move continuously with the capacities: a failure domain with few
 * targets keeps few requests instead of none or all. [headroom] above 1 keeps more at home while targets there are idle.
 */
internal class LocalityShares(
    private val domains: List<DomainShare>,
    private val ownDomain: FailureDomainId,
    private val ownRegion: RegionId,
    private val headroom: Double = 1.0,
) {
    /** Share of the requests that stay in the own failure domain. */
    val ownFailureDomain: Double = keepShare(domains.filter { it.failureDomain == ownDomain })

    /** Share of the requests that leave the own failure domain and stay in the own region. */
    val ownRegionOnly: Double = (1 - ownFailureDomain) * regionKeepShare()

    /** Returns how much capacity [domain] has left for requests from elsewhere. */
    fun left(domain: FailureDomainId): Double =
        domains.filter { it.failureDomain == domain }.sumOf { left(it) }

    private fun left(share: DomainShare): Double = maxOf(0.0, share.capacity * headroom - share.demand)

    private fun keepShare(own: List<DomainShare>): Double {
        val demand = own.sumOf { it.demand }
        val capacity = own.sumOf { it.capacity } * headroom
        if (capacity <= 0) return 0.0
        return if (demand <= capacity) 1.0 else capacity / demand
    }

    private fun regionKeepShare(): Double {
        val inRegion = domains.filter { it.region == ownRegion }
        val over = inRegion.sumOf { maxOf(0.0, it.demand - it.capacity * headroom) }
        val left = inRegion.sumOf { left(it) }
        if (left <= 0) return 0.0
        return if (over <= left) 1.0 else left / over
    }
}
