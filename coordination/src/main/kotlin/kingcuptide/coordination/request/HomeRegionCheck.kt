package kingcuptide.coordination.request

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.version.ConfigDocument
import kingcuptide.coordination.version.RouteSpec

/** Whether a region may serve a request. */
public sealed interface HomeRegionCheck {
    /** The request may be served, sent and stored here. */
    public data object Allowed : HomeRegionCheck

    /** The request may not be served here and must not be read further; [regions] may serve it, sorted by name. */
    public data class WrongRegion(
        val regions: List<RegionId>,
    ) : HomeRegionCheck

    /** Route and workspace have no home region in common, or the workspace is unknown: no region may serve it. */
    public data object NoAllowedRegion : HomeRegionCheck
}

/** Home regions of a request. */
public sealed interface HomeRegions {
    /** The request may be served anywhere. */
    public data object Anywhere : HomeRegions

    /** The request may be served only in [regions]; there may be none. */
    public data class Only(
        val regions: Set<RegionId>,
    ) : HomeRegions
}

/**
 * Returns the regions that may serve a request of [workspace] on [route]: the home regions that both have in common.
 * A workspace that the document does not have has no home region.
 */
public fun homeRegionsOf(route: RouteSpec, workspace: WorkspaceId?, document: ConfigDocument): HomeRegions {
    if (workspace != null && workspace !in document.workspaces) return HomeRegions.Only(emptySet())
    val workspaceRegions = workspace?.let { document.workspaces[it]?.homeRegions }.orEmpty()
    return when {
        route.homeRegions.isEmpty() && workspaceRegions.isEmpty() -> HomeRegions.Anywhere
        route.homeRegions.isEmpty() -> HomeRegions.Only(workspaceRegions)
        workspaceRegions.isEmpty() -> HomeRegions.Only(route.homeRegions)
        else -> HomeRegions.Only(route.homeRegions intersect workspaceRegions)
    }
}

/** Decides whether a daemon in region [own] may accept a request with [home]; called before the body is read. */
public fun checkHomeRegion(own: RegionId, home: HomeRegions): HomeRegionCheck =
    when (home) {
        HomeRegions.Anywhere -> HomeRegionCheck.Allowed
        is HomeRegions.Only -> checkRegions(own, home.regions)
    }

/** Returns whether [region] may serve a request with these home regions. */
public operator fun HomeRegions.contains(region: RegionId): Boolean =
    checkHomeRegion(region, this) == HomeRegionCheck.Allowed

private fun checkRegions(own: RegionId, regions: Set<RegionId>): HomeRegionCheck =
    when {
        own in regions -> HomeRegionCheck.Allowed
        regions.isEmpty() -> HomeRegionCheck.NoAllowedRegion
        else -> HomeRegionCheck.WrongRegion(regions.sortedBy { it.value })
    }
