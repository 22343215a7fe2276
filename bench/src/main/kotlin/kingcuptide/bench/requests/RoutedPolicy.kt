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

/** The real decisions of the coordination library, joined over the fake fleet. */
class RoutedPolicy(
    internal val fleet: FakeFleet,
    internal val service: ServiceSpec,
    internal val route: RouteSpec,
    internal val random: Random,
    internal val counters: RequestCounters = RequestCounters.NONE,
    private val withSuspects: Boolean = true,
) : Policy {
    /** Told of each step of each call, before the step is taken. */
    var observer: (Step, Call, HostId) -> Unit = { _, _, _ -> }

    private val daemons = fleet.hosts.mapValues { (_, host) -> Daemon(host) }.toMutableMap()

    init {
        fleet.time.every(TICK) { daemons.values.forEach { it.tick() } }
    }

    override fun start(call: Call, onEnd: (CallEnd) -> Unit): () -> Unit {
        val routed = RoutedCall(this, call, onEnd)
        routed.start()
        return routed::callerGone
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

    /** What one daemon holds in memory. */
    inner class Daemon(private val host: FakeHost) {
        private val random = Random(this@RoutedPolicy.random.nextLong())

        val chooser: TargetChooser =
            targetChooser(fleet.viewOf(host), fleet.time, random, ChooserSettings(), counters)
        val budget: RetryBudget = retryBudget(fleet.time)
        val suspects: SuspectTracker =
            suspectTracker(fleet.viewOf(host), Incarnation(host.incarnation.value), fleet.time, random)
        val gate: AdmissionGate =
            admissionGate(host.entry.region, service, Surroundings(), fleet.time, random, GateSettings(), counters)

        /** Calls that were given up before they started, so that a late frame does not start them. */
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

        private inner class Surroundings : GateDependencies {
            override fun canAcceptWork(): Boolean =
                host.wokeAt?.let { fleet.time.now() - it >= AWAKENING_TIME } ?: true

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
        private val TICK = 50.milliseconds

        /** Time in which a daemon that woke checks with others before it takes work. */
        private val AWAKENING_TIME: Duration = 200.milliseconds
    }
}

private typealias SuspectMessage = kingcuptide.coordination.connection.QuarantineMessage
