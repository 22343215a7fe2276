package kingcuptide.bench.keys

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.WitnessView
import kingcuptide.coordination.request.witnessView
import kingcuptide.coordination.version.FailureDomainSpec

/** Fleet of [hosts] hosts, distributed evenly over [failureDomains] failure domains in two regions. */
data class KeyFleetShape(
    val hosts: Int,
    val failureDomains: Int,
) {
    private val domains = (1..failureDomains).associate {
        FailureDomainId("domain-$it") to
            FailureDomainSpec(RegionId(if (it <= (failureDomains + 1) / 2) "one" else "two"))
    }

    /** Entries of all hosts, ordered by host number. */
    val entries: List<HostEntry> = List(hosts) { index ->
        val domain = FailureDomainId("domain-${index % failureDomains + 1}")
        HostEntry(
            host = HostId("host-$index"),
            ip = "127.0.0.1",
            peerPort = 1,
            httpPort = 2,
            failureDomain = domain,
            region = domains.getValue(domain).region,
            service = ServiceId("service-${index % 65}"),
        )
    }

    /** Returns the view that all daemons of this fleet share. */
    fun view(): WitnessView = witnessView(HostList(revision = 1, hosts = entries), domains)
}
