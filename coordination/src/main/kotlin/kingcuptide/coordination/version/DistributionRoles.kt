package kingcuptide.coordination.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.HostState
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.rendezvousWeight
import kotlin.random.Random

/**
 * Assigns the roles in the distribution to hosts, as pure functions of the host list and of liveness.
 *
 * Daemons that disagree on either temporarily assign roles to different hosts. That costs only calls or bytes.
 *
 * The *anchors* of a failure domain are its first hosts by rendezvous hashing. The anchors by host list alone are the
 * witnesses; the first usable ones are the roots of the distribution. Not thread-safe.
 */
internal class DistributionRoles(
    private val fleet: FleetView,
    private val settings: VersionSettings,
) {
    private var orderedFor: HostList? = null
    private var ordered: List<HostEntry> = emptyList()
    private var byDomain: Map<FailureDomainId, List<HostEntry>> = emptyMap()
    private var ofRegion: List<HostEntry> = emptyList()
    private val readerOrders = mutableMapOf<ResourceKind, ReaderOrder>()
    private var witnesses: List<HostEntry> = emptyList()

    /** All hosts of the host list except this one. */
    fun others(): List<HostEntry> {
        refresh()
        return ordered
    }

    /**
     * Whether this daemon keeps a watch at the platform for the successor of [number].
     *
     * The readers of a failure domain are its first usable hosts by rendezvous hashing for [number], so that each new
     * version is read from the platform by different hosts.
     */
    fun isReader(kind: ResourceKind, number: Long?): Boolean {
        if (fleet.self.region != settings.platformRegion || fleet.self.state != HostState.LIVE) return false
        refresh()
        val order = readerOrders.getOrPut(kind) { ReaderOrder(null, emptyList()) }
        val current = if (order.number == number && order.hosts.isNotEmpty()) order else orderReaders(kind, number)
        return current.hosts.asSequence()
            .filter { it.host == fleet.self.host || isUsable(it) }
            .take(settings.readersPerFailureDomain)
            .any { it.host == fleet.self.host }
    }

    /**
     * The witnesses that this daemon queries after a restart, excluding itself: the anchors of its region's failure
     * domains, or of the whole fleet if the region has fewer than [MIN_WITNESS_DOMAINS] failure domains.
     */
    fun witnesses(): List<HostEntry> {
        refresh()
        return witnesses
    }

    /** Whether this daemon is a witness for others of its region. */
    fun isWitness(): Boolean {
        refresh()
        val domain = fleet.self.failureDomain
        val before = byDomain[domain].orEmpty().count { it.host != fleet.self.host && precedesSelf(it.host) }
        return before < settings.anchorsPerFailureDomain
    }

    /** The first usable anchors of [region], which offer a new version to the whole region and to other regions. */
    fun roots(region: RegionId): List<HostId> {
        refresh()
        return withSelf(
            ordered.asSequence().filter {
                it.region == region && isUsable(it)
            },
            region == fleet.self.region,
        )
            .take(ROOTS_PER_REGION)
    }

    /** The regions of the host list other than this daemon's. */
    fun otherRegions(): Set<RegionId> {
        refresh()
        return ordered.mapTo(mutableSetOf()) { it.region } - fleet.self.region
    }

    /** The failure domains of this daemon's region. */
    fun domainsOfRegion(): Set<FailureDomainId> {
        refresh()
        return ordered.filter { it.region == fleet.self.region }.mapTo(mutableSetOf()) { it.failureDomain } +
            fleet.self.failureDomain
    }

    /** The usable hosts of [domain] in the order of the tree along which [version] is relayed. */
    fun tree(domain: FailureDomainId, version: ResourceVersion): List<HostId> {
        refresh()
        val usable = byDomain[domain].orEmpty().filter { isUsable(it) }.map { it.host }
        val members = if (domain == fleet.self.failureDomain) usable + fleet.self.host else usable
        val key = "tree:${version.number}"
        return members.map { it to rendezvousWeight(key, it) }
            .sortedWith(compareByDescending<Pair<HostId, ULong>> { it.second }.thenBy { it.first })
            .map { it.first }
    }

    /** Returns a random usable host of the own failure domain or region; null after [MAX_RANDOM_DRAWS] attempts. */
    fun randomUsable(isInDomain: Boolean, random: Random): HostId? {
        refresh()
        val hosts = if (isInDomain) byDomain[fleet.self.failureDomain].orEmpty() else ofRegion
        if (hosts.isEmpty()) return null
        repeat(MAX_RANDOM_DRAWS) {
            val host = hosts.random(random)
            if (isUsable(host)) return host.host
        }
        return null
    }

    /** Whether [host] is live and not known to be dead or leaving. */
    fun isUsable(host: HostEntry): Boolean =
        host.state == HostState.LIVE && fleet.liveness(host.host).let { it != Liveness.DEAD && it != Liveness.LEAVING }

    private fun orderReaders(kind: ResourceKind, number: Long?): ReaderOrder {
        val hosts = byDomain[fleet.self.failureDomain].orEmpty() + fleet.self
        val order =
            ReaderOrder(number, hosts.sortedByDescending { rendezvousWeight("reader:${kind.name}:$number", it.host) })
        readerOrders[kind] = order
        return order
    }

    private fun withSelf(usable: Sequence<HostEntry>, includeSelf: Boolean): List<HostId> {
        val first = usable.take(MAX_ANCHORS).map { it.host }.toList()
        if (!includeSelf || fleet.self.state != HostState.LIVE) return first
        return first.filter { precedesSelf(it) } + fleet.self.host + first.filterNot { precedesSelf(it) }
    }

    private fun precedesSelf(host: HostId): Boolean {
        val own = rendezvousWeight(ANCHOR_KEY, fleet.self.host)
        val weight = rendezvousWeight(ANCHOR_KEY, host)
        return weight > own || (weight == own && host < fleet.self.host)
    }

    private fun refresh() {
        val list = fleet.hostList
        if (list === orderedFor) return
        orderedFor = list
        readerOrders.clear()
        ordered = list.hosts.filter { it.host != fleet.self.host }.map { it to rendezvousWeight(ANCHOR_KEY, it.host) }
            .sortedWith(compareByDescending<Pair<HostEntry, ULong>> { it.second }.thenBy { it.first.host })
            .map { it.first }
        byDomain = ordered.groupBy { it.failureDomain }
        ofRegion = ordered.filter { it.region == fleet.self.region }
        witnesses = computeWitnesses()
    }

    private fun computeWitnesses(): List<HostEntry> {
        val region = domainsOfRegion()
        val domains = if (region.size >= MIN_WITNESS_DOMAINS) region else byDomain.keys
        return domains.flatMap { domain ->
            val hosts = byDomain[domain].orEmpty().take(settings.anchorsPerFailureDomain)
            if (domain != fleet.self.failureDomain) return@flatMap hosts
            val precedingHosts = hosts.filter { precedesSelf(it.host) }
            if (precedingHosts.size >=
                settings.anchorsPerFailureDomain
            ) {
                precedingHosts
            } else {
                hosts.take(settings.anchorsPerFailureDomain - 1)
            }
        }
    }

    private data class ReaderOrder(
        val number: Long?,
        val hosts: List<HostEntry>,
    )

    private companion object {
        const val ANCHOR_KEY = "anchor"
        const val ROOTS_PER_REGION = 2
        const val MIN_WITNESS_DOMAINS = 3
        const val MAX_ANCHORS = 8
        const val MAX_RANDOM_DRAWS = 8
    }
}
