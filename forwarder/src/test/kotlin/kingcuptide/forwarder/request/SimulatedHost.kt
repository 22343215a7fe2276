package kingcuptide.forwarder.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.DaemonLocation
import kingcuptide.coordination.request.GateLoadReport
import kingcuptide.coordination.request.LeavingTargets
import kingcuptide.coordination.request.RetryAllowance
import kingcuptide.coordination.request.RetryAllowanceSettings
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.request.TargetInstance
import kingcuptide.coordination.request.TargetPicker
import kingcuptide.coordination.request.TargetState
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.VirtualTime
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.TrafficCounts
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The daemon of one host, entry and gate, beside a [SimulatedTarget]. Both are new after each [restart]. */
internal class SimulatedHost(
    private val time: VirtualTime,
    private val names: HeaderNames,
    private val random: Random,
    private val published: PublishedState,
    private val location: DaemonLocation,
    val targetId: TargetId,
    private val transport: GateTransport,
    val target: SimulatedTarget,
) {
    private var parts = Parts()

    val scope: CoroutineScope get() = parts.scope
    val entry: EntryService get() = parts.entry
    val gate: GateService get() = parts.gate

    var isUp = true
        private set

    fun stop() {
        isUp = false
        parts.scope.cancel()
    }

    fun restart() {
        isUp = true
        parts = Parts()
    }

    /** The load report that pings of this host carry. */
    fun loadReport(): GateLoadReport = parts.targetGate.loadReport()

    /** A ping of [other] has arrived. */
    fun pinged(other: SimulatedHost) = parts.picker.recordLoadReport(other.targetId, other.loadReport())

    fun tick() = parts.targetGate.serve()

    private inner class Parts {
        val scope = CoroutineScope(time + Job())
        private val running = RunningRequests(time)
        private val leaving = LeavingTargets()
        private val suspects = CrashSuspects(HostId("h"), 1, time)
        val targetGate = TargetGate(time).apply {
            slots = SLOTS
            coldFor(Duration.ZERO)
        }
        val gate = GateService(
            scope,
            time,
            targetGate,
            target,
            names,
            { targetId },
            NoTargetObserver,
            TargetNotices(time, names, targetGate, ::targetLeaves),
            suspects,
            running,
            DaemonMetrics(),
        )
        val picker = TargetPicker(time, location, random)
        private val allowance = RetryAllowance(time, { RetryAllowanceSettings(0.2, 58, 10.seconds) }) { 1 }

        private fun targetLeaves(instance: TargetInstance) {
            leaving.record(instance)
            targetGate.leavingInstance = instance
            targetGate.state = TargetState.LEAVING
            targetGate.serve()
        }

        val entry = EntryService(
            time,
            names,
            EntryDependencies(
                { ServiceId("own") },
                location,
                published,
                picker,
                allowance,
                suspects,
                running,
                leaving,
            ),
            transport,
            DaemonMetrics(),
            TrafficCounts(time),
        )
    }

    companion object {
        const val SLOTS = 12
    }
}
