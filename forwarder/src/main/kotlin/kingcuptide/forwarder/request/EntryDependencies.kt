package kingcuptide.forwarder.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.DaemonLocation
import kingcuptide.coordination.request.GateLoadReport
import kingcuptide.coordination.request.KeyKnowledge
import kingcuptide.coordination.request.LeavingTargets
import kingcuptide.coordination.request.RetryAllowance
import kingcuptide.coordination.request.RevocationSettings
import kingcuptide.coordination.request.TargetInstance
import kingcuptide.coordination.request.TargetPicker
import kingcuptide.coordination.request.quota.QuotaDecision
import kingcuptide.coordination.request.quota.quotaRetryAfter
import kingcuptide.coordination.version.ForwardRoute
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.Workspace
import kingcuptide.forwarder.process.eventLog
import kotlin.random.Random
import kotlin.time.Duration

/**
 * What an [EntryService] depends on: the published state, target selection, retry limits, quotas and how API keys age.
 *
 * @property responseBy returns by when a request must be answered whose caller waits until the given time
 * @property awaitTurn suspends until the end of the connection of a caller, if it has arrived, is read
 */
class EntryDependencies(
    val service: () -> ServiceId,
    val location: DaemonLocation,
    val published: PublishedState,
    val picker: TargetPicker,
    val allowance: RetryAllowance,
    val suspects: CrashSuspects,
    val running: RunningRequests,
    val leaving: LeavingTargets,
    val revocation: () -> RevocationSettings = { RevocationSettings() },
    private val peerSilence: () -> Duration = { Duration.ZERO },
    val quotas: QuotaAdmission = QuotaAdmission.Unlimited,
    val random: Random = Random.Default,
    val responseBy: (Duration) -> Duration = { it },
    val awaitTurn: suspend () -> Unit = {},
) {
    /** What this daemon knows about the age of its API keys. */
    val keyKnowledge: KeyKnowledge =
        object : KeyKnowledge {
            override val isConfirmed: Boolean get() = published.isConfirmed

            override val peerSilence: Duration get() = this@EntryDependencies.peerSilence()
        }

    /** Time since the published state was last known to be current, or -1 if it never was. */
    fun knowledgeAgeMs(): Long = published.age().let { if (it.isFinite()) it.inWholeMilliseconds else -1 }

    /** Records a load report of the gate of [target]. */
    fun recordLoadReport(target: TargetEntry, report: GateLoadReport) {
        picker.recordLoadReport(target.id, report)
        if (report.demand.isNotEmpty()) picker.recordDemand(target.id, target.failureDomain, report.demand)
        // Without its start the instance may be one that this daemon knows to have ended; its gate refuses requests.
        report.leavingInstance?.takeIf { it.startedAtUnixMs != null }?.let(::recordLeaving)
    }

    /** Records that [instance] has said that it leaves. */
    fun recordLeaving(instance: TargetInstance) {
        if (!leaving.record(instance)) return
        log.info("target_said_leaving", "target" to instance.id, "started_at" to instance.startedAtUnixMs)
    }

    /** Uses a credit of [workspace]; returns null, or the time after which the caller should retry if there is none. */
    suspend fun acquireQuota(
        workspace: Workspace,
        requestId: String,
        route: ForwardRoute,
        timeout: Duration,
    ): Duration? {
        val decision = quotas.acquire(workspace, timeout * MAX_QUOTA_WAIT_SHARE)
        if (decision !is QuotaDecision.Refused) return null
        val retryAfter = quotaRetryAfter(decision.roomIn, random)
        log.info(
            "request_refused",
            "request" to requestId,
            "code" to ResultCode.QUOTA_SPENT.number,
            "status" to ResultCode.QUOTA_SPENT.httpStatus,
            "workspace" to workspace.name,
            "route" to route.id,
            "version" to published.routing?.number,
            "left" to decision.left,
            "retry_after_ms" to retryAfter.inWholeMilliseconds,
            "knowledge_age_ms" to knowledgeAgeMs(),
        )
        return retryAfter
    }

    private companion object {
        /** Share of the time of a request for which it may wait for a credit. */
        const val MAX_QUOTA_WAIT_SHARE = 0.1
        val log = eventLog("entry")
    }
}
