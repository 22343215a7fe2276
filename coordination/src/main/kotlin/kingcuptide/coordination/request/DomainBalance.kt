package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId

/**
 * Demand and capacity of a failure domain for a service, in slots of a mean target.
 *
 * @property demand what its targets would bear if all requests stayed as near as they may
 * @property movable the part of [demand] that comes from its own callers
 */
internal class DomainBalance(
    val domain: FailureDomainId,
    val region: RegionId?,
    val demand: Double,
    val capacity: Double,
    val movable: Double = demand,
)

/**
 * Returns the balances of the failure domains that may serve [pool]. Requests that must leave their own region count,
 * in proportion to capacity, where they may go; counted where their callers are, they would displace others from there.
 */
internal fun balancesOf(
    pool: DemandPool,
    demands: Map<DemandPool, Map<FailureDomainId, Double>>,
    capacities: Map<FailureDomainId, Double>,
    regionOf: (FailureDomainId) -> RegionId?,
): List<DomainBalance> {
    val staying = HashMap<FailureDomainId, Double>()
    val arriving = HashMap<FailureDomainId, Double>()
    for ((other, byDomain) in demands) {
        val (atHome, away) = byDomain.entries.partition { other.maySend(regionOf(it.key)) }
        atHome.forEach { staying.merge(it.key, it.value, Double::plus) }
        val homes = capacities.filterKeys { other.maySend(regionOf(it)) }
        val homeCapacity = homes.values.sum()
        if (away.isEmpty() || homeCapacity <= 0) continue
        val load = away.sumOf { it.value } / homeCapacity
        homes.forEach { (domain, capacity) -> arriving.merge(domain, load * capacity, Double::plus) }
    }
    return (staying.keys + capacities.keys).filter { pool.maySend(regionOf(it)) }.map {
        val own = staying[it] ?: 0.0
        DomainBalance(it, regionOf(it), own + (arriving[it] ?: 0.0), capacities[it] ?: 0.0, own)
    }
}
