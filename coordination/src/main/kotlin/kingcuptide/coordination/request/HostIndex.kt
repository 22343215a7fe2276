package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A host list indexed by host, service and failure domain. */
internal class HostIndex(
    val hostList: HostList,
) {
    private val byHost = hostList.hosts.associateBy { it.host }
    private val byService = hostList.hosts.groupBy { it.service }
    private val byDomain = hostList.hosts.groupBy { it.failureDomain }

    @Volatile
    private var aliveCounts: AliveCounts? = null

    val hosts: Set<HostId> get() = byHost.keys

    fun hostsOf(service: ServiceId): List<HostEntry> = byService[service].orEmpty()

    fun entry(host: HostId): HostEntry? = byHost[host]

    /** Returns the number of alive daemons in each failure domain; the counts are cached for [MAX_COUNT_AGE]. */
    fun aliveDaemonsByDomain(now: Duration, isAlive: (HostId) -> Boolean): Map<FailureDomainId, AliveDaemons> {
        val cached = aliveCounts
        if (cached != null && now - cached.countedAt < MAX_COUNT_AGE) return cached.byDomain
        val refreshed = byDomain.mapValues { (_, hosts) ->
            AliveDaemons(hosts.first().region, hosts.count { isAlive(it.host) })
        }
        aliveCounts = AliveCounts(now, refreshed)
        return refreshed
    }

    private class AliveCounts(val countedAt: Duration, val byDomain: Map<FailureDomainId, AliveDaemons>)

    private companion object {
        val MAX_COUNT_AGE = 1.seconds
    }
}

/** Number of alive daemons in a failure domain, which accept requests from callers. */
internal data class AliveDaemons(
    val region: RegionId,
    val count: Int,
)
