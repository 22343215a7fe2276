package kingcuptide.bench.requests

import kingcuptide.coordination.process.HostId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Step of a request at which a fault is injected. */
enum class Step { ACCEPTED, CHOSEN, ARRIVED, FORWARDED, ANSWERED, RETRIED }

/** A fault that is injected into the host that a request is sent to, or into its entry. */
enum class Fault(internal val inject: (FaultCell, FakeHost, Call) -> Unit) {
    TARGET_KILLED({ _, host, _ -> host.target?.kill() }),
    TARGET_TURNED_COLD({ _, host, _ -> host.target?.turnCold() }),
    TARGET_SLOW({ _, host, _ -> host.target?.serviceTimeFactor = 20.0 }),
    TARGET_REFUSING({ _, host, _ -> host.target?.refusesAll = true }),
    ENTRY_KILLED({ cell, _, call -> cell.fleet.killDaemon(call.entry) }),
    GATE_DAEMON_KILLED({ cell, host, _ -> cell.killAndRestart(host) }),
    GATE_DAEMON_FROZEN_AND_WOKEN({ cell, host, _ -> cell.freezeAndWake(host) }),
    ENTRY_FROZEN_AND_WOKEN({ cell, _, call -> cell.freezeAndWake(call.entry) }),
    POWER_LOST({ cell, host, _ -> cell.fleet.losePower(host) }),
    LINK_TO_GATE_CUT({ cell, host, call -> cell.fleet.cut(call.entry.entry.host, host.entry.host) }),
    LINK_TO_ENTRY_CUT({ cell, host, call -> cell.fleet.cut(host.entry.host, call.entry.entry.host) }),
    REGION_CUT({ cell, host, _ -> cell.cutRegion(host) }),
    CALLER_GONE({ cell, _, call -> cell.disconnectCaller(call) }),
    DOMAIN_TAKEN_OUT({ cell, host, _ -> cell.fleet.setTakenOut(host.entry.failureDomain, true) }),
    DOMAIN_TAKEN_OUT_ENTRY_STALE({ cell, host, call -> cell.takeOutUnknownTo(call.entry, host) }),
    DRAINING({ cell, host, _ -> cell.drain(host) }),
}

/**
 * Counts of one cell of the matrix.
 *
 * @property injectedFaults 1 if the fault was injected, otherwise 0
 * @property unfinished calls without a result; 0 for faults that kill a daemon, whose calls have none
 * @property duplicateRuns repeated starts of the non-idempotent request with the most starts
 * @property untrueRefusals calls refused as not run that had run
 * @property requestsBeyondCapacity requests sent to targets that were at their capacity or beyond it
 * @property inFlightAfterDrain requests in flight when the drain was reported complete
 * @property failedIdempotent idempotent calls that failed
 * @property runsAfterTakenOut requests forwarded by hosts that knew that their failure domain was taken out
 */
data class CellResult(
    val injectedFaults: Int,
    val unfinished: Int,
    val duplicateRuns: Int,
    val untrueRefusals: Int,
    val requestsBeyondCapacity: Int,
    val inFlightAfterDrain: Int,
    val failedIdempotent: Int,
    val runsAfterTakenOut: Int,
)

/** Runs calls under a load and injects [fault] when one of them reaches [step]. */
class FaultCell(
    private val fault: Fault,
    private val step: Step,
    seed: Long,
) {
    private val scenario = Scenario(FleetShape.GEORGIA, TargetShape(coldStart = 2.seconds), seed, plain = false)
    private val policy = scenario.policy as RoutedPolicy
    private val cancelByCallId = HashMap<Long, () -> Unit>()
    private var faultCall: Call? = null
    private var faultHost: FakeHost? = null
    private var inFlightAfterDrain = 0
    private var runsAfterTakenOut = 0

    internal val fleet = scenario.fleet

    /** Runs the cell. */
    fun run(): CellResult {
        policy.observer = ::observe
        scenario.load.onStart = { call, cancel -> cancelByCallId[call.id] = cancel }
        scenario.run(Load(scenario.capacityPerSecond * UTILIZATION, until = END, idempotentPercent = 50))
        val results = scenario.load.results
        val lost = fault == Fault.ENTRY_KILLED || fault == Fault.POWER_LOST || fault == Fault.GATE_DAEMON_KILLED
        val unfinished = cancelByCallId.keys.count { it !in results }
        return CellResult(
            injectedFaults = if (faultCall == null) 0 else 1,
            unfinished = if (lost) 0 else unfinished,
            duplicateRuns = maxOf(0, scenario.load.worstRunsOfNonRepeatable() - 1),
            untrueRefusals = scenario.load.untrueRefusals(),
            requestsBeyondCapacity = fleet.targets().sumOf { it.target!!.admittedBeyond },
            inFlightAfterDrain = inFlightAfterDrain,
            failedIdempotent = results.values.count { it.code != null && it.call.idempotent },
            runsAfterTakenOut = runsAfterTakenOut,
        )
    }

    private fun observe(reached: Step, call: Call, host: HostId) {
        val target = fleet.hosts.getValue(host)
        if (reached == Step.FORWARDED) countRunAfterTakenOut(target)
        if (reached == Step.RETRIED && step == Step.RETRIED) return inject(call, target)
        if (step == Step.RETRIED && reached == Step.CHOSEN) causeRetry(target)
        if (reached == step) inject(call, target)
    }

    private fun inject(call: Call, host: FakeHost) {
        if (faultCall != null || scenario.time.now() < INJECT_FROM) return
        faultCall = call
        faultHost = host
        scenario.time.after(0.milliseconds) { fault.inject(this, host, call) }
    }

    /** Stops the target for 100 ms, because a retry needs a first attempt that failed. */
    private fun causeRetry(host: FakeHost) {
        val target = host.target ?: return
        if (faultCall != null || scenario.time.now() < INJECT_FROM || !target.isUp) return
        target.kill()
        scenario.time.after(100.milliseconds) { target.start() }
    }

    private fun countRunAfterTakenOut(host: FakeHost) {
        val takenOut = fault == Fault.DOMAIN_TAKEN_OUT || fault == Fault.DOMAIN_TAKEN_OUT_ENTRY_STALE
        val out = faultHost?.entry?.failureDomain == host.entry.failureDomain
        if (takenOut && out && fleet.isTakenOut(host.entry.host, host.entry.failureDomain)) runsAfterTakenOut++
    }

    internal fun killAndRestart(host: FakeHost) {
        fleet.killDaemon(host)
        scenario.time.after(500.milliseconds) {
            fleet.start(host)
            policy.restarted(host)
        }
    }

    internal fun freezeAndWake(host: FakeHost) {
        fleet.freeze(host)
        scenario.time.after(1_500.milliseconds) { fleet.wake(host) }
    }

    internal fun cutRegion(host: FakeHost) {
        val (inside, outside) = fleet.hosts.values.partition { it.entry.region == host.entry.region }
        for (one in inside) {
            for (other in outside) {
                fleet.cut(one.entry.host, other.entry.host)
                fleet.cut(other.entry.host, one.entry.host)
            }
        }
    }

    internal fun disconnectCaller(call: Call) {
        cancelByCallId[call.id]?.invoke()
    }

    internal fun takeOutUnknownTo(entry: FakeHost, host: FakeHost) {
        if (entry.entry.host != host.entry.host) fleet.makeStale(entry.entry.host)
        fleet.setTakenOut(host.entry.failureDomain, true)
    }

    internal fun drain(host: FakeHost) {
        if (host.target == null) return
        policy.drain(host) { inFlightAfterDrain += host.target.inFlight }
    }

    private companion object {
        const val UTILIZATION = 0.5
        val INJECT_FROM = 8.seconds
        val END = 14.seconds
    }
}
