package kingcuptide.bench.fleet

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId

/** Number of failure domains of each region, and of hosts in each failure domain. */
data class FleetShape(
    val failureDomainsPerRegion: List<Int>,
    val hostsPerFailureDomain: Int,
) {
    /** Returns the entries of all hosts, region by region. */
    fun hosts(): List<HostEntry> =
        failureDomainsPerRegion.flatMapIndexed { region, domains ->
            (1..domains).flatMap { domain -> (1..hostsPerFailureDomain).map { entry(region + 1, domain, it) } }
        }

    private fun entry(region: Int, domain: Int, number: Int): HostEntry =
        HostEntry(
            host = HostId("r$region-fd$domain-h$number"),
            ip = "10.$region.$domain.$number",
            peerPort = 7_000,
            httpPort = 8_000,
            failureDomain = FailureDomainId("r$region-fd$domain"),
            region = RegionId("r$region"),
            service = ServiceId("service-${number % SERVICE_COUNT}"),
        )

    private companion object {
        const val SERVICE_COUNT = 65
    }
}

/** Region of the platform in every fleet. */
val PLATFORM_REGION = RegionId("r1")
