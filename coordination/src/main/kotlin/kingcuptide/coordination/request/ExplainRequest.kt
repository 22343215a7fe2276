package kingcuptide.coordination.request

import kingcuptide.coordination.process.CandidateStateReport
import kingcuptide.coordination.process.ExplainReport
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.TenantId
import kingcuptide.coordination.process.toReportedCode
import kingcuptide.coordination.version.RouteMatch
import kingcuptide.coordination.version.RouteSpec
import kingcuptide.coordination.version.Snapshot

/** A request that an operator asks about. [path] may carry a query. */
public data class ExplainQuery(
    val method: String,
    val path: String,
    val tenant: TenantId? = null,
)

/**
 * Explains where the request that [query] describes could go if it came in at the daemon whose view is [fleet].
 *
 * It names what the daemon would refuse first, and goes on to the candidates wherever there is a route. It sends nothing.
 */
public fun explainRequest(
    query: ExplainQuery,
    snapshot: Snapshot?,
    fleet: FleetView,
    chooser: TargetChooser,
): ExplainReport {
    if (snapshot == null) return unrouted(fleet, null, ResultCode.NO_CONFIGURATION)
    return when (val match = snapshot.match(query.method, query.path)) {
        is RouteMatch.Found -> explainRoute(query, match, snapshot, fleet, chooser)
        is RouteMatch.MethodNotAllowed -> unrouted(fleet, snapshot, ResultCode.METHOD_NOT_ALLOWED)
        RouteMatch.UnknownRoute -> unrouted(fleet, snapshot, ResultCode.UNKNOWN_ROUTE)
    }
}

private fun explainRoute(
    query: ExplainQuery,
    match: RouteMatch.Found,
    snapshot: Snapshot,
    fleet: FleetView,
    chooser: TargetChooser,
): ExplainReport {
    val home = homeRegionsOf(match.route, query.tenant, snapshot.document)
    val choice = ChoiceRequest(match.route.service, match.service.slots, home, snapshot::isTakenOut)
    return ExplainReport(
        answeredBy = fleet.self.host,
        version = snapshot.version,
        refusal = refusalAtEntry(query.tenant, match.route, home, snapshot, fleet.self.region)?.toReportedCode(),
        route = match.routeId,
        service = match.route.service,
        repeatable = match.repeatable,
        homeRegions = (home as? HomeRegions.Only)?.regions?.sortedBy { it.value },
        candidates = chooser.explain(choice).map { candidateState(it, fleet) },
    )
}

private fun refusalAtEntry(
    tenant: TenantId?,
    route: RouteSpec,
    home: HomeRegions,
    snapshot: Snapshot,
    region: RegionId,
): ResultCode? = when {
    tenant == null && route.tenantRequired -> ResultCode.TENANT_MISSING
    tenant != null && snapshot.tenant(tenant) == null -> ResultCode.UNKNOWN_TENANT
    region !in home -> ResultCode.WRONG_REGION
    else -> null
}

private fun candidateState(report: CandidateReport, fleet: FleetView): CandidateStateReport = CandidateStateReport(
    host = report.entry.host,
    failureDomain = report.entry.failureDomain,
    region = report.entry.region,
    liveness = fleet.liveness(report.entry.host),
    refusal = report.code?.toReportedCode(),
)

private fun unrouted(fleet: FleetView, snapshot: Snapshot?, code: ResultCode): ExplainReport = ExplainReport(
    answeredBy = fleet.self.host,
    version = snapshot?.version,
    refusal = code.toReportedCode(),
    route = null,
    service = null,
    repeatable = null,
    homeRegions = null,
    candidates = emptyList(),
)
