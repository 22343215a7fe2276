package kingcuptide.bench.fleet

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId

/** How many failure domains each region has, and how many hosts each failure domain has. */
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
            service = ServiceId("service-${number % SERVICES}"),
        )

    private companion object {
        const val SERVICES = 65
    }
}

/** The region in which the platform of every [FleetShape] stands. */
val PLATFORM_REGION = RegionId("r1")
