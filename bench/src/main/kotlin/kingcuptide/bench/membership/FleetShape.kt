package kingcuptide.bench.membership

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId

/**
 * Layout of the hosts of a fleet.
 *
 * Hosts are assigned round-robin to [failureDomains] and to [services], and failure domains to [regions].
 */
data class FleetShape(
    val hosts: Int,
    val regions: Int = 2,
    val failureDomains: Int = 7,
    val services: Int = 65,
) {
    /** Returns the host-list entries of all hosts. */
    fun entries(): List<HostEntry> = (0 until hosts).map { entry(it) }

    private fun entry(number: Int): HostEntry {
        val failureDomain = number % failureDomains
        val region = failureDomain % regions
        return HostEntry(
            host = HostId("host-%04d".format(number)),
            ip = "127.0.0.1",
            peerPort = FIRST_PORT + number,
            httpPort = FIRST_PORT + number,
            failureDomain = FailureDomainId("domain-$failureDomain"),
            region = RegionId("region-$region"),
            service = ServiceId("service-${number % services}"),
        )
    }

    private companion object {
        const val FIRST_PORT = 20_000
    }
}
