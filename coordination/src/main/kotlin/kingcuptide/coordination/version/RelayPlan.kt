package kingcuptide.coordination.version

import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId

/**
 * Selects the hosts to which a daemon offers a version that it has just put in force.
 *
 * Within a failure domain the version is relayed along a tree. The roots of a region offer it to the first two hosts of
 * every tree of the region, and those of the platform's region also to the roots of the other regions. Not thread-safe.
 */
internal class RelayPlan(
    private val fleet: FleetView,
    private val roles: DistributionRoles,
    private val platformRegion: RegionId,
    private val fanOut: Int,
) {
    /** Returns the hosts to offer [version] to; [isOrigin] is whether this daemon read it from the source. */
    fun recipients(version: ResourceVersion, isOrigin: Boolean): Set<HostId> {
        val self = fleet.self
        val tree = roles.tree(self.failureDomain, version)
        val recipients = LinkedHashSet(children(tree, tree.indexOf(self.host)))
        if (isOrigin) recipients += tree.take(HEADS_PER_TREE) + roles.roots(self.region)
        if (self.host in roles.roots(self.region)) recipients += heads(version) + rootsOfOtherRegions()
        recipients -= self.host
        return recipients
    }

    private fun heads(version: ResourceVersion): List<HostId> =
        roles.domainsOfRegion().flatMap { roles.tree(it, version).take(HEADS_PER_TREE) }

    private fun rootsOfOtherRegions(): List<HostId> =
        if (fleet.self.region == platformRegion) roles.otherRegions().flatMap { roles.roots(it) } else emptyList()

    /** The second host of [tree] also offers to the children of the first, so that one failure cuts off no subtree. */
    private fun children(tree: List<HostId>, index: Int): List<HostId> {
        if (index < 0) return emptyList()
        val own = childIndices(index)
        val indices = if (index == 1) childIndices(0) + own else own.toList()
        return indices.mapNotNull { tree.getOrNull(it) }
    }

    private fun childIndices(index: Int): IntRange = index * fanOut + 1..index * fanOut + fanOut

    private companion object {
        const val HEADS_PER_TREE = 2
    }
}
