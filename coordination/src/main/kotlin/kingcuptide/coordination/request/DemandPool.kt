package kingcuptide.coordination.request

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId

/** The requests for [service] that may be served in [homeRegions] only, or anywhere if these are empty. */
internal data class DemandPool(
    val service: ServiceId,
    val homeRegions: Set<RegionId> = emptySet(),
) {
    /** Key in reports of demand, which is shorter than the names and equal in all daemons. */
    val key: Int =
        if (homeRegions.isEmpty()) {
            serviceKeyOf(service)
        } else {
            (listOf(service.value) + homeRegions.map { it.value }.sorted()).hashCode()
        }

    /** Returns whether these requests may be served in [region]. */
    fun maySend(region: RegionId?): Boolean = homeRegions.isEmpty() || region in homeRegions
}
