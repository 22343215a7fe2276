package kingcuptide.bench.membership

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Liveness
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A violated guarantee. */
data class Violation(
    val promise: MembershipPromise,
    val detail: String,
)

/** Runs one case of the matrix on a small fleet and checks every daemon's view every [CHECK_INTERVAL]. */
class MembershipCaseRun(
    private val case: MembershipFaultCase,
    seed: Long,
    shape: FleetShape = FleetShape(hosts = 48, regions = 2, failureDomains = 4),
) {
    private val fleet = MembershipFleet(shape, seed)
    private val faultNode = fleet.node(FAULT_NODE_INDEX)
    private val otherNode = fleet.node(OTHER_NODE_INDEX)
    private val domainNodes = fleet.nodes.filter { it.entry.failureDomain == faultNode.entry.failureDomain }
    private val checker = MembershipViewChecker(fleet)
    private val leavers = mutableListOf<Leaver>()

    /** Runs the case and returns the guarantees that were violated. */
    fun run(): Set<Violation> {
        prepare()
        checker.affectedHosts += affectedNodes().map { it.host }
        checker.regionsCut = case.fault == MembershipFault.REGION_CUT
        checker.neverDeadNodes =
            if (MembershipPromise.PAUSE_IS_NO_DEATH in case.promises) affectedNodes() else emptyList()
        injectFault()
        fleet.network.heal()
        checkHealed()
        return checker.violations
    }

    private fun prepare() {
        if (case.step == MembershipStep.WHILE_STARTING) return runAndCheck(500.milliseconds)
        runAndCheck(20.seconds)
        when (case.step) {
            MembershipStep.AT_REST, MembershipStep.WHILE_STARTING -> Unit
            MembershipStep.WHILE_SUSPECTED -> {
                kill(otherNode)
                runAndCheck(1.seconds)
            }
            MembershipStep.WHILE_LEAVING -> {
                leave(otherNode)
                runAndCheck(100.milliseconds)
            }
            MembershipStep.WHILE_DOMAIN_RETURNS -> {
                val returning = fleet.nodes.filter { it.entry.failureDomain == otherNode.entry.failureDomain }
                returning.forEach(::kill)
                runAndCheck(12.seconds)
                returning.forEach(::restart)
                runAndCheck(200.milliseconds)
            }
        }
    }

    private fun affectedNodes(): List<FleetNode> = when (case.fault) {
        MembershipFault.DOMAIN_KILLED, MembershipFault.DOMAIN_FROZEN -> domainNodes
        MembershipFault.ALL_RESTARTED -> fleet.nodes
        MembershipFault.DISORDER -> fleet.nodes.filter { it.running }
        MembershipFault.REGION_CUT -> emptyList()
        else -> listOf(faultNode)
    }

    private fun injectFault() {
        when (case.fault) {
            MembershipFault.LEFT -> leaveAndStop()
            MembershipFault.KILLED -> killAndDetect(listOf(faultNode))
            MembershipFault.DOMAIN_KILLED -> killAndDetect(domainNodes)
            MembershipFault.FROZEN -> freeze(listOf(faultNode), SHORT_FAULT)
            MembershipFault.FROZEN_LONG -> freeze(listOf(faultNode), LONG_FAULT)
            MembershipFault.DOMAIN_FROZEN -> freeze(domainNodes, SHORT_FAULT)
            MembershipFault.CUT_INBOUND -> cut(LONG_FAULT) { _, to -> to == faultNode.host }
            MembershipFault.CUT_OUTBOUND -> cut(LONG_FAULT) { from, _ -> from == faultNode.host }
            MembershipFault.CUT_BOTH -> cut(LONG_FAULT) { from, to -> from == faultNode.host || to == faultNode.host }
            MembershipFault.CUT_PAIR -> cut(LONG_FAULT) { from, to -> isPair(from, to) }
            MembershipFault.REGION_CUT -> cutRegions()
            MembershipFault.DISORDER -> disturbMessages()
            MembershipFault.RESTARTED -> killAndRestart(fleet.clock.now().inWholeMilliseconds)
            MembershipFault.RESTARTED_CLOCK_BACK -> killAndRestart(-CLOCK_SETBACK_MS)
            MembershipFault.ALL_RESTARTED -> restartAll()
        }
    }

    private fun leaveAndStop() {
        leave(faultNode)
        runAndCheck(4.seconds)
        kill(faultNode)
    }

    private fun killAndDetect(hosts: List<FleetNode>) {
        hosts.forEach(::kill)
        runAndCheck(3.seconds)
        expectEverywhere(MembershipPromise.DETECTED, hosts) { isSuspectedOrGone(it) || mayBeUnknown(it) }
        runAndCheck(7.seconds)
        expectEverywhere(MembershipPromise.DETECTED, hosts) { it == Liveness.DEAD || mayBeUnknown(it) }
    }

    /** A host that announced that it leaves is not suspected: it stays leaving until it is dead. */
    private fun isSuspectedOrGone(liveness: Liveness): Boolean =
        liveness == Liveness.SUSPECT ||
            liveness == Liveness.DEAD ||
            (liveness == Liveness.LEAVING && leavers.isNotEmpty())

    /** A daemon that started shortly before, or after, a host was gone may never have received a message about it. */
    private fun mayBeUnknown(liveness: Liveness): Boolean {
        val started = case.step == MembershipStep.WHILE_STARTING || case.fault == MembershipFault.ALL_RESTARTED
        return started && liveness == Liveness.UNKNOWN
    }

    private fun freeze(hosts: List<FleetNode>, duration: Duration) {
        hosts.filter { it.running }.forEach(fleet::freeze)
        runAndCheck(duration)
        hosts.filter { it.running }.forEach(fleet::wake)
    }

    private fun cut(duration: Duration, isCut: (HostId, HostId) -> Boolean) {
        fleet.network.cut = { from, to -> isCut(from.host, to.host) }
        runAndCheck(duration)
    }

    private fun isPair(from: HostId, to: HostId): Boolean =
        setOf(from, to) == setOf(faultNode.host, fleet.node(CUT_PEER_NODE_INDEX).host)

    private fun cutRegions() {
        fleet.network.cut = { from, to -> from.region != to.region }
        runAndCheck(30.seconds)
    }

    private fun disturbMessages() {
        fleet.network.lossShare = 0.1
        fleet.network.duplicateShare = 0.1
        fleet.network.maxExtraDelay = 150.milliseconds
        runAndCheck(LONG_FAULT)
    }

    private fun killAndRestart(clockOffset: Long) {
        kill(faultNode)
        runAndCheck(2.seconds)
        fleet.restart(faultNode, MembershipFleet.FIRST_INCARNATION + clockOffset)
    }

    private fun restartAll() {
        val running = fleet.nodes.filter { it.running }
        running.forEach(::kill)
        runAndCheck(1.seconds)
        running.forEach(::restart)
    }

    private fun checkHealed() {
        runAndCheck(5.seconds)
        val live = fleet.nodes.filter { it.live }
        expectEverywhere(MembershipPromise.HEALED, live) { it != Liveness.DEAD }
        checker.regionsCut = false
        runAndCheck(10.seconds)
        expectEverywhere(MembershipPromise.HEALED, live) { it == Liveness.ALIVE || it == Liveness.LEAVING }
        val gone = fleet.nodes.filter { !it.running }
        expectEverywhere(MembershipPromise.GONE_IS_DEAD, gone) { it == Liveness.DEAD || mayBeUnknown(it) }
    }

    private fun expectEverywhere(promise: MembershipPromise, hosts: List<FleetNode>, holds: (Liveness) -> Boolean) {
        for (observer in fleet.nodes.filter { it.live }) {
            for (host in hosts.filter { it !== observer }) {
                val seen = observer.membership.liveness(host.host)
                if (!holds(seen)) checker.report(promise, "${observer.host} sees ${host.host} as $seen")
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

    private fun runAndCheck(duration: Duration) {
        val end = fleet.clock.now() + duration
        while (fleet.clock.now() < end) {
            fleet.run(CHECK_INTERVAL)
            checker.checkViews()
            checkLeavers()
        }
    }

    private fun checkLeavers() {
        val due = leavers.filter { !it.checked && fleet.clock.now() >= it.knownDeadline }
        for (leaver in due) {
            leaver.checked = true
            if (MembershipPromise.LEAVING_KNOWN !in case.promises) continue
            val observers = fleet.nodes.filter { it.live && it.host !in checker.affectedHosts && it !== leaver.node }
            for (observer in observers.filter { !checker.areCut(it, leaver.node) }) {
                val seen = observer.membership.liveness(leaver.node.host)
                if (seen == Liveness.LEAVING || seen == Liveness.DEAD) continue
                checker.report(MembershipPromise.LEAVING_KNOWN, "${observer.host} sees ${leaver.node.host} as $seen")
            }
        }
    }

    private class Leaver(
        val node: FleetNode,
        val knownDeadline: Duration,
    ) {
        var checked = false
    }

    private companion object {
        const val FAULT_NODE_INDEX = 5
        const val OTHER_NODE_INDEX = 10
        const val CUT_PEER_NODE_INDEX = 9
        const val CLOCK_SETBACK_MS = 3_600_000L
        val SHORT_FAULT = 3.seconds
        val LONG_FAULT = 20.seconds
        val CHECK_INTERVAL = 100.milliseconds
    }
}
