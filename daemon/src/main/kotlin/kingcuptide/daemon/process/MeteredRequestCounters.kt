package kingcuptide.daemon.process

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.GiveUpReason
import kingcuptide.coordination.request.LimitCutReason
import kingcuptide.coordination.request.RequestCounters
import kingcuptide.coordination.request.Verdict
import kingcuptide.forwarder.process.DaemonMetrics

/** Exports the counters of request decisions as metrics. Refusals and retries are counted by their handlers. */
class MeteredRequestCounters(
    private val metrics: DaemonMetrics,
) : RequestCounters {
    override fun gaveUp(reason: GiveUpReason, code: ResultCode) = metrics.gaveUp(reason.name.lowercase(), code)

    override fun limitCut(reason: LimitCutReason) = metrics.limitCut(reason.name.lowercase())

    override fun hostEjected() = metrics.hostEjected()

    override fun verdictChanged(verdict: Verdict) = metrics.verdict(verdict.name.lowercase())
}
