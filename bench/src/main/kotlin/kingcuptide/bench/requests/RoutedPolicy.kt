package kingcuptide.bench.requests

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.AdmissionGate
import kingcuptide.coordination.request.ChooserSettings
import kingcuptide.coordination.request.Fingerprint
import kingcuptide.coordination.request.GateDependencies
import kingcuptide.coordination.request.GateSettings
import kingcuptide.coordination.request.HomeRegions
import kingcuptide.coordination.request.RequestCounters
import kingcuptide.coordination.request.RetryBudget
import kingcuptide.coordination.request.SuspectTracker
import kingcuptide.coordination.request.TargetChooser
import kingcuptide.coordination.request.Verdict
import kingcuptide.coordination.request.admissionGate
import kingcuptide.coordination.request.retryBudget
import kingcuptide.coordination.request.suspectTracker
import kingcuptide.coordination.request.targetChooser
import kingcuptide.coordination.version.RouteSpec
import kingcuptide.coordination.version.ServiceSpec
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The real decision code of the coordination library, connected through the fake fleet. */
class RoutedPolicy(
    internal val fleet: FakeFleet,
    internal val service: ServiceSpec,
    internal val route: RouteSpec,
    internal val random: Random,
    internal val counters: RequestCounters = RequestCounters.NONE,
    private val withSuspects: Boolean = true,
) : Policy {
    /** Called at each step of each call. */
    var observer: (Step, Call, HostId) -> Unit = { _, _, _ -> }

    private val daemons = fleet.hosts.mapValues { (_, host) -> Daemon(host) }.toMutableMap()

    init {
        fleet.time.every(TICK_INTERVAL) { daemons.values.forEach { it.tick() } }
    }

    override fun start(call: Call, onResult: (CallResult) -> Unit): () -> Unit {
        val routed = RoutedCall(this, call, onResult)
        routed.start()
        return routed::onCallerGone
    }

    override fun drain(host: FakeHost, onDrained: () -> Unit) {
        host.leavingSince = fleet.time.now()
        daemon(host).gate.drain(onDrained)
    }

    override fun restarted(host: FakeHost) {
        daemons[host.entry.host] = Daemon(host)
    }

    /** Returns the daemon that runs on [host]. */
    fun daemon(host: FakeHost): Daemon = daemons.getValue(host.entry.host)

    /** In-memory state of one daemon. */
    inner class Daemon(private val host: FakeHost) {
        private val random = Random(this@RoutedPolicy.random.nextLong())

        val chooser: TargetChooser =
            targetChooser(fleet.viewOf(host), fleet.time, random, ChooserSettings(), counters)
        val budget: RetryBudget = retryBudget(fleet.time)
        val suspects: SuspectTracker =
            suspectTracker(fleet.viewOf(host), Incarnation(host.incarnation.value), fleet.time, random)
        val gate: AdmissionGate =
            admissionGate(host.entry.region, service, Dependencies(), fleet.time, random, GateSettings(), counters)

        /** Calls cancelled before they started, so that a late frame does not start them. */
        val cancelled = HashSet<Long>()

        init {
            host.target?.onProcessEnd = { fleet.onDaemon(host, Duration.ZERO) { gate.targetStarted() } }
        }

        fun tick() {
            if (host.frozenEvents != null || !host.isUp) return
            if (host.target != null) gate.tick()
            if (!withSuspects) return
            for (outbound in suspects.tick()) send(outbound.to, outbound.message as SuspectMessage)
        }

        private fun send(to: HostId, message: SuspectMessage) {
            val receiver = fleet.hosts.getValue(to)
            fleet.send(host, receiver) {
                val replies = daemon(receiver).suspects.receive(host.entry.host, message)
                for (reply in replies) daemon(receiver).send(reply.to, reply.message as SuspectMessage)
            }
        }

        private inner class Dependencies : GateDependencies {
            override fun canAcceptWork(): Boolean =
                host.wokeAt?.let { fleet.time.now() - it >= AWAKENING_DURATION } ?: true

            override fun isTakenOut(): Boolean = fleet.isTakenOut(host.entry.host, host.entry.failureDomain)

            override fun verdict(fingerprint: Fingerprint, reported: Boolean): Verdict =
                if (withSuspects) suspects.verdict(fingerprint, reported) else Verdict.CLEAR

            override fun answered(fingerprint: Fingerprint) = suspects.answered(fingerprint)

            override fun targetCrashed(inFlight: Map<Fingerprint, HomeRegions>) = suspects.targetCrashed(inFlight)
        }
    }

    companion object {
        /** The route of all calls. */
        val ROUTE: RouteId = RouteId("rounds")
        private val TICK_INTERVAL = 50.milliseconds

        /** Time after resuming in which a daemon checks with others and accepts no work. */
        private val AWAKENING_DURATION: Duration = 200.milliseconds
    }
}

private typealias SuspectMessage = kingcuptide.coordination.connection.QuarantineMessage
