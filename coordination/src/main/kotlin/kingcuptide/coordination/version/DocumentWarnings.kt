package kingcuptide.coordination.version

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode

/**
 * Returns a warning for each home region in [document] whose failure domains are all taken out, so that requests bound
 * to it have no target.
 *
 * These are not errors: an operator must be able to take out any failure domain immediately.
 */
public fun documentWarnings(document: ConfigDocument): List<DocumentFault> {
    val takenOut = document.takenOutRegions()
    if (takenOut.isEmpty()) return emptyList()
    val routes = document.routes.map { (id, route) -> "routes.$id.homeRegions" to route.homeRegions }
    val workspaces = document.workspaces.map { (id, workspace) ->
        "workspaces.$id.homeRegions" to workspace.homeRegions
    }
    return (routes + workspaces).flatMap { (path, homeRegions) ->
        homeRegions.filter { it in takenOut }.map { takenOutWarning(path, it) }
    }
}

private fun ConfigDocument.takenOutRegions(): Set<RegionId> {
    val inService = failureDomains.filterKeys { it !in takenOutFailureDomains }.values.map { it.region }
    return regions() - inService.toSet()
}

private fun takenOutWarning(path: String, region: RegionId): DocumentFault = DocumentFault(
    code = ResultCode.HOME_REGION_TAKEN_OUT,
    path = path,
    reason = "every failure domain of region $region is taken out",
    severity = Severity.WARNING,
)
