package kingcuptide.forwarder.request

import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.DaemonLocation
import kingcuptide.coordination.request.GateLoadReport
import kingcuptide.coordination.request.KeyKnowledge
import kingcuptide.coordination.request.LeavingTarget
import kingcuptide.coordination.request.LeavingTargets
import kingcuptide.coordination.request.RetryAllowance
import kingcuptide.coordination.request.RevocationSettings
import kingcuptide.coordination.request.TargetPicker
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.forwarder.process.eventLog
import kotlin.time.Duration

/** What an [EntryService] depends on: the published state, target selection, retry limits and how API keys age. */
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
) {
    /** What this daemon knows about the age of its API keys. */
    val keyKnowledge: KeyKnowledge =
        object : KeyKnowledge {
            override val isConfirmed: Boolean get() = published.isConfirmed

            override val peerSilence: Duration get() = this@EntryDependencies.peerSilence()
        }

    /** Records a load report of the gate of [target]. */
    fun recordLoadReport(target: TargetEntry, report: GateLoadReport) {
        picker.recordLoadReport(target.id, report)
        report.leavingTarget?.let(::recordLeaving)
    }

    /** Records that [target] has said that it leaves. */
    fun recordLeaving(target: LeavingTarget) {
        if (leaving.record(target.id, target.startedAtUnixMs)) log.info("target_said_leaving", "target" to target.id)
    }

    private companion object {
        val log = eventLog("entry")
    }
}
