package kingcuptide.daemon.process

import kingcuptide.coordination.process.CandidateStateReport
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.LaggardReport
import kingcuptide.coordination.process.StatusReport
import kingcuptide.coordination.process.VersionCountReport
import kingcuptide.coordination.process.toReportedCode
import kingcuptide.coordination.request.CandidateReport
import kingcuptide.coordination.version.ConvergenceSummary
import kotlin.time.Duration

/** Converts the summary to the body of `/v1/status`. */
internal fun ConvergenceSummary.toReport(answeredBy: HostId, fleet: FleetView, confirmedAge: Duration?): StatusReport =
    StatusReport(
        answeredBy = answeredBy,
        versionInForce = newestVersion,
        hostsTotal = hosts,
        hostsInForce = inForce,
        counts = rows.map { VersionCountReport(it.failureDomain, it.version, it.count) },
        laggards = behind.map {
            LaggardReport(it.host, fleet.entry(it.host)?.failureDomain, it.version, it.behindForMs)
        },
        laggardsTotal = behindTotal,
        unreachable = unreachable,
        unreachableTotal = unreachableTotal,
        confirmedAgeMs = confirmedAge?.inWholeMilliseconds,
        tookMs = tookMs,
    )

/** Converts the candidate to its entry in the body of `/v1/explain`. */
internal fun CandidateReport.toReport(fleet: FleetView): CandidateStateReport =
    CandidateStateReport(
        host = entry.host,
        failureDomain = entry.failureDomain,
        region = entry.region,
        liveness = fleet.liveness(entry.host),
        refusal = code?.toReportedCode(),
    )
