package kingcuptide.coordination.version

import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Liveness
import kotlin.random.Random

/** A group of hosts whose [leader] queries the [others]; without others, it reports only its own version. */
internal data class HostGroup(
    val leader: HostEntry,
    val others: List<HostEntry>,
)

/** Divides hosts into groups: by failure domain first, so that few messages cross regions, then into equal parts. */
internal class HostDivision(
    private val settings: ConvergenceSettings,
    private val liveness: (HostId) -> Liveness,
    private val random: Random,
) {
    /** Returns groups that contain each of [hosts] exactly once. */
    fun divide(hosts: List<HostEntry>): List<HostGroup> {
        if (hosts.size <= settings.maxDirectHosts) return singles(hosts)
        val byFailureDomain = hosts.groupBy { it.failureDomain }.values
        val parts = if (byFailureDomain.size > 1) byFailureDomain.flatMap(::splitToMaxSize) else equalParts(hosts)
        return parts.flatMap(::withLeader)
    }

    /** Returns a separate group for each of [hosts]. */
    fun singles(hosts: List<HostEntry>): List<HostGroup> = hosts.map { HostGroup(it, emptyList()) }

    private fun equalParts(hosts: List<HostEntry>): List<List<HostEntry>> {
        val size = (hosts.size + settings.fanOut - 1) / settings.fanOut
        return hosts.chunked(size).flatMap(::splitToMaxSize)
    }

    private fun splitToMaxSize(hosts: List<HostEntry>): List<List<HostEntry>> = hosts.chunked(MAX_GROUP_HOSTS)

    private fun withLeader(hosts: List<HostEntry>): List<HostGroup> {
        val leaders = hosts.filter { liveness(it.host) == Liveness.ALIVE }
            .ifEmpty { hosts.filter { liveness(it.host) != Liveness.DEAD } }
        if (leaders.isEmpty()) return singles(hosts)
        val leader = leaders.random(random)
        return listOf(HostGroup(leader, hosts - leader))
    }

    private companion object {
        /** Number of host keys that fit in a datagram. */
        const val MAX_GROUP_HOSTS = 200
    }
}
