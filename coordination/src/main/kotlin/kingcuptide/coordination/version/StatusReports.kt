package kingcuptide.coordination.version

import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.LaggardReport
import kingcuptide.coordination.process.StatusReport
import kingcuptide.coordination.process.VersionCountReport
import kotlin.time.Duration

/** Turns [summary] into the report of the daemon whose view is [fleet]; [confirmedAge] is that of its document. */
public fun statusReportOf(summary: ConvergenceSummary, fleet: FleetView, confirmedAge: Duration?): StatusReport =
    StatusReport(
        answeredBy = fleet.self.host,
        versionInForce = summary.newestVersion,
        hostsTotal = summary.hosts,
        hostsInForce = summary.inForce,
        counts = summary.rows.map { VersionCountReport(it.failureDomain, it.version, it.count) },
        laggards =
            summary.behind.map {
                LaggardReport(it.host, fleet.entry(it.host)?.failureDomain, it.version, it.behindForMs)
            },
        laggardsTotal = summary.behindTotal,
        unreachable = summary.unreachable,
        unreachableTotal = summary.unreachableTotal,
        confirmedAgeMs = confirmedAge?.inWholeMilliseconds,
        tookMs = summary.tookMs,
    )
