package kingcuptide.standins.fleet

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.ConfigDocument
import kingcuptide.coordination.version.FailureDomainSpec

/** Hosts and initial document of a fleet on loopback addresses; each host has its own address. */
data class FleetShape(
    val hosts: List<HostEntry>,
    val document: ConfigDocument,
    val platformRegion: RegionId,
    val platformIp: String,
) {
    fun hostList(revision: Long = 1): HostList = HostList(revision, hosts)
}

/** A failure domain of a fleet, with a host for each of [services]. */
data class DomainShape(
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val services: List<ServiceId>,
)

/**
 * Builds a fleet with a host for each service of each failure domain.
 *
 * [network] is the second octet of all addresses; fleets that run at the same time need different ones.
 */
fun fleetShape(network: Int, domains: List<DomainShape>, document: ConfigDocument): FleetShape {
    val hosts =
        domains.flatMapIndexed { domainIndex, domain ->
            domain.services.mapIndexed { index, service ->
                HostEntry(
                    host = HostId("${domain.failureDomain}-$service-$index"),
                    ip = "127.$network.${domainIndex + 1}.${index + 1}",
                    peerPort = PEER_PORT,
                    httpPort = HTTP_PORT,
                    failureDomain = domain.failureDomain,
                    region = domain.region,
                    service = service,
                )
            }
        }
    val withDomains = document.copy(
        failureDomains = domains.associate {
            it.failureDomain to
                FailureDomainSpec(it.region)
        },
    )
    return FleetShape(hosts, withDomains, domains.first().region, "127.$network.0.1")
}

internal const val HTTP_PORT = 8080
internal const val PEER_PORT = 7070
internal const val ADMIN_PORT = 9090
internal const val TARGET_PORT = 8000
internal const val PLATFORM_PORT = 9000
