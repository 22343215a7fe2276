package kingcuptide.daemon.process

import kingcuptide.coordination.process.ExplainReport
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.process.toReportedCode
import kingcuptide.coordination.request.ChoiceRequest
import kingcuptide.coordination.request.HomeRegionCheck
import kingcuptide.coordination.request.HomeRegions
import kingcuptide.coordination.request.TargetChooser
import kingcuptide.coordination.request.checkHomeRegion
import kingcuptide.coordination.request.homeRegionsOf
import kingcuptide.coordination.version.RouteMatch
import kingcuptide.coordination.version.Snapshot

/** Reports the current candidate targets of a request, and why the others are refused. */
class Explainer(
    private val host: HostId,
    private val region: RegionId,
    private val fleet: FleetView,
    private val chooser: TargetChooser,
    private val snapshot: () -> Snapshot?,
) {
    fun explain(method: String, path: String, workspace: WorkspaceId?): ExplainReport {
        val current = snapshot() ?: return refused(ResultCode.NO_CONFIGURATION, version = null)
        return when (val match = current.match(method, path)) {
            is RouteMatch.Found -> explainFound(current, match, workspace)
            is RouteMatch.MethodNotAllowed -> refused(ResultCode.METHOD_NOT_ALLOWED, current.version)
            RouteMatch.UnknownRoute -> refused(ResultCode.UNKNOWN_ROUTE, current.version)
        }
    }

    private fun explainFound(current: Snapshot, match: RouteMatch.Found, workspace: WorkspaceId?): ExplainReport {
        val home = homeRegionsOf(match.route, workspace, current.document)
        val choice = ChoiceRequest(match.route.service, match.service.slots, home, current::isTakenOut)
        return ExplainReport(
            answeredBy = host,
            version = current.version,
            refusal = refusalOf(current, match, workspace, home)?.toReportedCode(),
            route = match.routeId,
            service = match.route.service,
            idempotent = match.idempotent,
            homeRegions = (home as? HomeRegions.Only)?.regions?.sortedBy { it.value },
            candidates = chooser.explain(choice).map { it.toReport(fleet) },
        )
    }

    private fun refusalOf(
        current: Snapshot,
        match: RouteMatch.Found,
        workspace: WorkspaceId?,
        home: HomeRegions,
    ): ResultCode? =
        when {
            workspace == null && match.route.workspaceRequired -> ResultCode.WORKSPACE_MISSING
            workspace != null && current.workspace(workspace) == null -> ResultCode.UNKNOWN_WORKSPACE
            checkHomeRegion(region, home) != HomeRegionCheck.Allowed -> ResultCode.WRONG_REGION
            else -> null
        }

    private fun refused(code: ResultCode, version: Long?) =
        ExplainReport(
            answeredBy = host,
            version = version,
            refusal = code.toReportedCode(),
            route = null,
            service = null,
            idempotent = null,
            homeRegions = null,
            candidates = emptyList(),
        )
}
