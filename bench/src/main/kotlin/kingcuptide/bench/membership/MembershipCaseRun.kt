package kingcuptide.bench.membership

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Liveness
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A promise that did not hold. */
data class Violation(
    val promise: MembershipPromise,
    val detail: String,
)

/** Plays one case of the matrix on a small fleet and looks at every daemon's view all the while. */
class MembershipCaseRun(
    private val case: MembershipFaultCase,
    seed: Long,
    shape: FleetShape = FleetShape(hosts = 48, regions = 2, failureDomains = 4),
) {
    private val fleet = MembershipFleet(shape, seed)
    private val victim = fleet.node(VICTIM)
    private val other = fleet.node(OTHER)
    private val herd = fleet.nodes.filter { it.entry.failureDomain == victim.entry.failureDomain }
    private val watch = MembershipWatch(fleet)
    private val leavers = mutableListOf<Leaver>()

    /** Runs the case and returns the promises that did not hold. */
    fun run(): Set<Violation> {
        prepare()
        watch.touched += touchedByFault().map { it.host }
        watch.regionsApart = case.fault == MembershipFault.REGION_CUT
        watch.spared = if (MembershipPromise.PAUSE_IS_NO_DEATH in case.promises) touchedByFault() else emptyList()
        strike()
        fleet.network.heal()
        checkHealed()
        return watch.violations
    }

    private fun prepare() {
        if (case.step == MembershipStep.WHILE_STARTING) return pass(500.milliseconds)
        pass(20.seconds)
        when (case.step) {
            MembershipStep.AT_REST, MembershipStep.WHILE_STARTING -> Unit
            MembershipStep.WHILE_SUSPECTED -> {
                kill(other)
                pass(1.seconds)
            }
            MembershipStep.WHILE_LEAVING -> {
                leave(other)
                pass(100.milliseconds)
            }
            MembershipStep.WHILE_HERD_RETURNS -> {
                val returning = fleet.nodes.filter { it.entry.failureDomain == other.entry.failureDomain }
                returning.forEach(::kill)
                pass(12.seconds)
                returning.forEach(::restart)
                pass(200.milliseconds)
            }
        }
    }

    private fun touchedByFault(): List<FleetNode> = when (case.fault) {
        MembershipFault.HERD_KILLED, MembershipFault.HERD_FROZEN -> herd
        MembershipFault.ALL_RESTARTED -> fleet.nodes
        MembershipFault.DISORDER -> fleet.nodes.filter { it.running }
        MembershipFault.REGION_CUT -> emptyList()
        else -> listOf(victim)
    }

    private fun strike() {
        when (case.fault) {
            MembershipFault.LEFT -> leaveAndStop()
            MembershipFault.KILLED -> killAndDetect(listOf(victim))
            MembershipFault.HERD_KILLED -> killAndDetect(herd)
            MembershipFault.FROZEN -> freeze(listOf(victim), SHORT)
            MembershipFault.FROZEN_LONG -> freeze(listOf(victim), LONG)
            MembershipFault.HERD_FROZEN -> freeze(herd, SHORT)
            MembershipFault.CUT_INBOUND -> cut(LONG) { _, to -> to == victim.host }
            MembershipFault.CUT_OUTBOUND -> cut(LONG) { from, _ -> from == victim.host }
            MembershipFault.CUT_BOTH -> cut(LONG) { from, to -> from == victim.host || to == victim.host }
            MembershipFault.CUT_PAIR -> cut(LONG) { from, to -> isPair(from, to) }
            MembershipFault.REGION_CUT -> cutRegions()
            MembershipFault.DISORDER -> disorder()
            MembershipFault.RESTARTED -> killAndRestart(fleet.clock.now().inWholeMilliseconds)
            MembershipFault.RESTARTED_CLOCK_BACK -> killAndRestart(-EARLIER)
            MembershipFault.ALL_RESTARTED -> restartAll()
        }
    }

    private fun leaveAndStop() {
        leave(victim)
        pass(4.seconds)
        kill(victim)
    }

    private fun killAndDetect(hosts: List<FleetNode>) {
        hosts.forEach(::kill)
        pass(3.seconds)
        expectEverywhere(MembershipPromise.DETECTED, hosts) { isDoubted(it) || isUnheard(it) }
        pass(7.seconds)
        expectEverywhere(MembershipPromise.DETECTED, hosts) { it == Liveness.DEAD || isUnheard(it) }
    }

    /** A host that announced its stop stays leaving until it is dead. */
    private fun isDoubted(liveness: Liveness): Boolean =
        liveness == Liveness.SUSPECT ||
            liveness == Liveness.DEAD ||
            (liveness == Liveness.LEAVING && leavers.isNotEmpty())

    /** A daemon that started shortly before, or after, a host was gone may never have heard of it. */
    private fun isUnheard(liveness: Liveness): Boolean {
        val started = case.step == MembershipStep.WHILE_STARTING || case.fault == MembershipFault.ALL_RESTARTED
        return started && liveness == Liveness.UNKNOWN
    }

    private fun freeze(hosts: List<FleetNode>, duration: Duration) {
        hosts.filter { it.running }.forEach(fleet::freeze)
        pass(duration)
        hosts.filter { it.running }.forEach(fleet::wake)
    }

    private fun cut(duration: Duration, isCut: (HostId, HostId) -> Boolean) {
        fleet.network.cut = { from, to -> isCut(from.host, to.host) }
        pass(duration)
    }

    private fun isPair(from: HostId, to: HostId): Boolean =
        setOf(from, to) == setOf(victim.host, fleet.node(NEIGHBOUR).host)

    private fun cutRegions() {
        fleet.network.cut = { from, to -> from.region != to.region }
        pass(30.seconds)
    }

    private fun disorder() {
        fleet.network.lossShare = 0.1
        fleet.network.repeatShare = 0.1
        fleet.network.extraDelay = 150.milliseconds
        pass(LONG)
    }

    private fun killAndRestart(clockOffset: Long) {
        kill(victim)
        pass(2.seconds)
        fleet.restart(victim, MembershipFleet.FIRST_INCARNATION + clockOffset)
    }

    private fun restartAll() {
        val running = fleet.nodes.filter { it.running }
        running.forEach(::kill)
        pass(1.seconds)
        running.forEach(::restart)
    }

    private fun checkHealed() {
        pass(5.seconds)
        val live = fleet.nodes.filter { it.live }
        expectEverywhere(MembershipPromise.HEALED, live) { it != Liveness.DEAD }
        watch.regionsApart = false
        pass(10.seconds)
        expectEverywhere(MembershipPromise.HEALED, live) { it == Liveness.ALIVE || it == Liveness.LEAVING }
        val gone = fleet.nodes.filter { !it.running }
        expectEverywhere(MembershipPromise.GONE_IS_DEAD, gone) { it == Liveness.DEAD || isUnheard(it) }
    }

    private fun expectEverywhere(promise: MembershipPromise, hosts: List<FleetNode>, holds: (Liveness) -> Boolean) {
        for (observer in fleet.nodes.filter { it.live }) {
            for (host in hosts.filter { it !== observer }) {
                val seen = observer.membership.liveness(host.host)
                if (!holds(seen)) watch.report(promise, "${observer.host} sees ${host.host} as $seen")
            }
        }
    }

    private fun leave(node: FleetNode) {
        fleet.leave(node)
        leavers += Leaver(node, fleet.clock.now() + 3.seconds)
    }

    private fun kill(node: FleetNode) = fleet.kill(node)

    private fun restart(node: FleetNode) {
        fleet.restart(node, MembershipFleet.FIRST_INCARNATION + fleet.clock.now().inWholeMilliseconds)
    }

    private fun pass(duration: Duration) {
        val end = fleet.clock.now() + duration
        while (fleet.clock.now() < end) {
            fleet.run(LOOK_INTERVAL)
            watch.look()
            checkLeavers()
        }
    }

    private fun checkLeavers() {
        val due = leavers.filter { !it.checked && fleet.clock.now() >= it.knownBy }
        for (leaver in due) {
            leaver.checked = true
            if (MembershipPromise.LEAVING_KNOWN !in case.promises) continue
            val observers = fleet.nodes.filter { it.live && it.host !in watch.touched && it !== leaver.node }
            for (observer in observers.filter { !watch.areApart(it, leaver.node) }) {
                val seen = observer.membership.liveness(leaver.node.host)
                if (seen == Liveness.LEAVING || seen == Liveness.DEAD) continue
                watch.report(MembershipPromise.LEAVING_KNOWN, "${observer.host} sees ${leaver.node.host} as $seen")
            }
        }
    }

    private class Leaver(
        val node: FleetNode,
        val knownBy: Duration,
    ) {
        var checked = false
    }

    private companion object {
        const val VICTIM = 5
        const val OTHER = 10
        const val NEIGHBOUR = 9
        const val EARLIER = 3_600_000L
        val SHORT = 3.seconds
        val LONG = 20.seconds
        val LOOK_INTERVAL = 100.milliseconds
    }
}
