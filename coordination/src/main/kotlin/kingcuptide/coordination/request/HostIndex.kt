package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A host list arranged for choosing. */
internal class HostIndex(
    val hostList: HostList,
) {
    private val byHost = hostList.hosts.associateBy { it.host }
    private val byService = hostList.hosts.groupBy { it.service }
    private val byDomain = hostList.hosts.groupBy { it.failureDomain }

    @Volatile
    private var counts: Counts? = null

    val hosts: Set<HostId> get() = byHost.keys

    fun hostsOf(service: ServiceId): List<HostEntry> = byService[service].orEmpty()

    fun entry(host: HostId): HostEntry? = byHost[host]

    /** Returns the daemons of each failure domain that are alive now, counted again once in [COUNT_AGE]. */
    fun entriesByDomain(now: Duration, isAlive: (HostId) -> Boolean): Map<FailureDomainId, DomainEntries> {
        val known = counts
        if (known != null && now - known.at < COUNT_AGE) return known.byDomain
        val fresh = byDomain.mapValues { (_, hosts) ->
            DomainEntries(hosts.first().region, hosts.count { isAlive(it.host) })
        }
        counts = Counts(now, fresh)
        return fresh
    }

    private class Counts(val at: Duration, val byDomain: Map<FailureDomainId, DomainEntries>)

    private companion object {
        val COUNT_AGE = 1.seconds
    }
}

/** How many daemons of a failure domain take requests. */
internal data class DomainEntries(
    val region: RegionId,
    val count: Int,
)
