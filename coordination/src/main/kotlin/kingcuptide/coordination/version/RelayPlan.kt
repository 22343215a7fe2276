package kingcuptide.coordination.version

import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId

/**
 * Whom a daemon offers a version that it has just put in force.
 *
 * Within a failure domain the version goes down a tree. The roots of a region offer it to the first two hosts of every
 * tree of the region, and those of the platform's region to the roots of the other regions. Not thread-safe.
 */
internal class RelayPlan(
    private val fleet: FleetView,
    private val roles: SpreadRoles,
    private val platformRegion: RegionId,
    private val fanOut: Int,
) {
    /** Returns the hosts to offer [version] to; [isOrigin] is whether it came from the source. */
    fun targets(version: ResourceVersion, isOrigin: Boolean): Set<HostId> {
        val self = fleet.self
        val tree = roles.tree(self.failureDomain, version)
        val targets = LinkedHashSet(children(tree, tree.indexOf(self.host)))
        if (isOrigin) targets += tree.take(HEADS) + roles.roots(self.region)
        if (self.host in roles.roots(self.region)) targets += heads(version) + rootsAbroad()
        targets -= self.host
        return targets
    }

    private fun heads(version: ResourceVersion): List<HostId> =
        roles.domainsOfRegion().flatMap { roles.tree(it, version).take(HEADS) }

    private fun rootsAbroad(): List<HostId> =
        if (fleet.self.region == platformRegion) roles.otherRegions().flatMap { roles.roots(it) } else emptyList()

    /** The second of [tree] offers to the children of the first as well, so that one failure cuts off no one. */
    private fun children(tree: List<HostId>, index: Int): List<HostId> {
        if (index < 0) return emptyList()
        val own = childIndices(index)
        val indices = if (index == 1) childIndices(0) + own else own.toList()
        return indices.mapNotNull { tree.getOrNull(it) }
    }

    private fun childIndices(index: Int): IntRange = index * fanOut + 1..index * fanOut + fanOut

    private companion object {
        const val HEADS = 2
    }
}
