package kingcuptide.coordination.version

import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.HostState
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId

/** The regions in which a host list has live targets of each service. */
internal class LiveTargets(
    hostList: HostList,
) {
    private val regions: Map<ServiceId, Set<RegionId>> =
        hostList.hosts
            .filter { it.state == HostState.LIVE }
            .groupBy({ it.service }, { it.region })
            .mapValues { it.value.toSet() }

    fun regionsOf(service: ServiceId): Set<RegionId> = regions[service].orEmpty()
}
