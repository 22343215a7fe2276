package kingcuptide.bench.requests

import kingcuptide.coordination.process.HostId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Step of a request at which a fault strikes. */
enum class Step { ACCEPTED, CHOSEN, ARRIVED, FORWARDED, ANSWERED, RETRIED }

/** What a fault does, to the host that the request is on its way to and to its entry. */
enum class Fault(internal val strike: (FaultCell, FakeHost, Call) -> Unit) {
    TARGET_KILLED({ _, host, _ -> host.target?.kill() }),
    TARGET_TURNED_COLD({ _, host, _ -> host.target?.turnCold() }),
    TARGET_SLOW({ _, host, _ -> host.target?.slowness = 20.0 }),
    TARGET_REFUSING({ _, host, _ -> host.target?.refusesAll = true }),
    ENTRY_KILLED({ cell, _, call -> cell.fleet.killDaemon(call.entry) }),
    GATE_DAEMON_KILLED({ cell, host, _ -> cell.killAndRestart(host) }),
    GATE_DAEMON_FROZEN_AND_WOKEN({ cell, host, _ -> cell.freezeAndWake(host) }),
    ENTRY_FROZEN_AND_WOKEN({ cell, _, call -> cell.freezeAndWake(call.entry) }),
    POWER_LOST({ cell, host, _ -> cell.fleet.losePower(host) }),
    LINK_TO_GATE_CUT({ cell, host, call -> cell.fleet.cut(call.entry.entry.host, host.entry.host) }),
    LINK_TO_ENTRY_CUT({ cell, host, call -> cell.fleet.cut(host.entry.host, call.entry.entry.host) }),
    REGION_CUT({ cell, host, _ -> cell.cutRegion(host) }),
    CALLER_GONE({ cell, _, call -> cell.callerGone(call) }),
    DOMAIN_TAKEN_OUT({ cell, host, _ -> cell.fleet.setTakenOut(host.entry.failureDomain, true) }),
    DOMAIN_TAKEN_OUT_ENTRY_STALE({ cell, host, call -> cell.takeOutUnknownTo(call.entry, host) }),
    DRAINING({ cell, host, _ -> cell.drain(host) }),
}

/** What came of one cell of the matrix. */
data class CellResult(
    val struck: Int,
    val unfinished: Int,
    val duplicateRuns: Int,
    val untrueRefusals: Int,
    val beyondBearing: Int,
    val cutOffByDrain: Int,
    val failedRepeatable: Int,
    val runsAfterTakenOut: Int,
)

/** Runs calls under a load and strikes one of them with [fault] when it reaches [step]. */
class FaultCell(
    private val fault: Fault,
    private val step: Step,
    seed: Long,
) {
    private val scenario = Scenario(FleetShape.GEORGIA, TargetShape(coldStart = 2.seconds), seed, plain = false)
    private val policy = scenario.policy as RoutedPolicy
    private val gone = HashMap<Long, () -> Unit>()
    private var struck: Call? = null
    private var struckHost: FakeHost? = null
    private var cutOff = 0
    private var lateRuns = 0

    internal val fleet = scenario.fleet

    /** Runs the cell. */
    fun run(): CellResult {
        policy.observer = ::observe
        scenario.load.onStart = { call, cancel -> gone[call.id] = cancel }
        scenario.run(Load(scenario.capacityPerSecond * UTILIZATION, until = END, repeatablePercent = 50))
        val ends = scenario.load.ends
        val lost = fault == Fault.ENTRY_KILLED || fault == Fault.POWER_LOST || fault == Fault.GATE_DAEMON_KILLED
        val unfinished = gone.keys.count { it !in ends }
        return CellResult(
            struck = if (struck == null) 0 else 1,
            unfinished = if (lost) 0 else unfinished,
            duplicateRuns = maxOf(0, scenario.load.worstRunsOfNonRepeatable() - 1),
            untrueRefusals = scenario.load.untrueRefusals(),
            beyondBearing = fleet.targets().sumOf { it.target!!.admittedBeyond },
            cutOffByDrain = cutOff,
            failedRepeatable = ends.values.count { it.code != null && it.call.idempotent },
            runsAfterTakenOut = lateRuns,
        )
    }

    private fun observe(reached: Step, call: Call, host: HostId) {
        val target = fleet.hosts.getValue(host)
        if (reached == Step.FORWARDED) countLateRun(target)
        if (reached == Step.RETRIED && step == Step.RETRIED) return strike(call, target)
        if (step == Step.RETRIED && reached == Step.CHOSEN) provokeRetry(target)
        if (reached == step) strike(call, target)
    }

    private fun strike(call: Call, host: FakeHost) {
        if (struck != null || scenario.time.now() < STRIKE_FROM) return
        struck = call
        struckHost = host
        scenario.time.after(0.milliseconds) { fault.strike(this, host, call) }
    }

    /** A retry needs a first failure: the target stops listening for a moment. */
    private fun provokeRetry(host: FakeHost) {
        val target = host.target ?: return
        if (struck != null || scenario.time.now() < STRIKE_FROM || !target.isUp) return
        target.kill()
        scenario.time.after(100.milliseconds) { target.start() }
    }

    private fun countLateRun(host: FakeHost) {
        val takenOut = fault == Fault.DOMAIN_TAKEN_OUT || fault == Fault.DOMAIN_TAKEN_OUT_ENTRY_STALE
        val out = struckHost?.entry?.failureDomain == host.entry.failureDomain
        if (takenOut && out && fleet.isTakenOut(host.entry.host, host.entry.failureDomain)) lateRuns++
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

    internal fun callerGone(call: Call) {
        gone[call.id]?.invoke()
    }

    internal fun takeOutUnknownTo(entry: FakeHost, host: FakeHost) {
        if (entry.entry.host != host.entry.host) fleet.makeStale(entry.entry.host)
        fleet.setTakenOut(host.entry.failureDomain, true)
    }

    internal fun drain(host: FakeHost) {
        if (host.target == null) return
        policy.drain(host) { cutOff += host.target.inFlight }
    }

    private companion object {
        const val UTILIZATION = 0.5
        val STRIKE_FROM = 8.seconds
        val END = 14.seconds
    }
}
