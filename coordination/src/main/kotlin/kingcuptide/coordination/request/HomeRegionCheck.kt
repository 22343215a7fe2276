package kingcuptide.coordination.request

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.version.ConfigDocument
import kingcuptide.coordination.version.RouteSpec

/** Whether a region may serve a request. */
public sealed interface HomeRegionCheck {
    /** The request may be served, sent and stored here. */
    public data object Allowed : HomeRegionCheck

    /** The request may not be read any further; [regions] are the places for it, sorted by name. */
    public data class WrongRegion(
        val regions: List<RegionId>,
    ) : HomeRegionCheck

    /** Route and workspace have no home region in common, so that no place may serve the request. */
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
 * Returns where a request of [workspace] on [route] may be served: at home for both of them. A workspace that the document does
 * not have is at home nowhere.
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

/** Decides whether a daemon in region [own] may take a request with [home]; called before the body is read. */
public fun checkHomeRegion(own: RegionId, home: HomeRegions): HomeRegionCheck =
    when (home) {
        HomeRegions.Anywhere -> HomeRegionCheck.Allowed
        is HomeRegions.Only -> check(own, home.regions)
    }

/** Returns whether [region] may serve a request with these home regions. */
public operator fun HomeRegions.contains(region: RegionId): Boolean =
    checkHomeRegion(region, this) == HomeRegionCheck.Allowed

private fun check(own: RegionId, regions: Set<RegionId>): HomeRegionCheck =
    when {
        own in regions -> HomeRegionCheck.Allowed
        regions.isEmpty() -> HomeRegionCheck.NoAllowedRegion
        else -> HomeRegionCheck.WrongRegion(regions.sortedBy { it.value })
    }
