package kingcuptide.daemon.process

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.network.selector.SelectorManager
import kingcuptide.coordination.connection.Hello
import kingcuptide.coordination.connection.PROTOCOL_VERSION
import kingcuptide.coordination.connection.frameCodec
import kingcuptide.coordination.connection.gateConnection
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.MembershipSettings
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.process.membership
import kingcuptide.coordination.request.Fingerprint
import kingcuptide.coordination.request.GateDependencies
import kingcuptide.coordination.request.HomeRegions
import kingcuptide.coordination.request.KeySettings
import kingcuptide.coordination.request.Verdict
import kingcuptide.coordination.request.admissionGate
import kingcuptide.coordination.request.keyClaimer
import kingcuptide.coordination.request.keyWitness
import kingcuptide.coordination.request.suspectTracker
import kingcuptide.coordination.request.targetChooser
import kingcuptide.coordination.version.ConvergenceSettings
import kingcuptide.coordination.version.LocalVersion
import kingcuptide.coordination.version.ServiceSpec
import kingcuptide.coordination.version.Snapshot
import kingcuptide.coordination.version.VersionSettings
import kingcuptide.coordination.version.convergenceCollector
import kingcuptide.coordination.version.deflatePayloadCodec
import kingcuptide.coordination.version.versionCoordinator
import kingcuptide.daemon.connection.ControlTransport
import kingcuptide.daemon.connection.FramePipe
import kingcuptide.daemon.connection.GateLink
import kingcuptide.daemon.connection.PeerAddressTable
import kingcuptide.daemon.connection.PeerLinks
import kingcuptide.daemon.connection.PeerListener
import kingcuptide.daemon.request.EntryDependencies
import kingcuptide.daemon.request.EntryHandler
import kingcuptide.daemon.request.GateHandler
import kingcuptide.daemon.request.KeyGuard
import kingcuptide.daemon.request.TargetClient
import kingcuptide.daemon.version.HttpPlatform
import kingcuptide.daemon.version.SourceCaller
import kingcuptide.daemon.version.validDocument
import kingcuptide.daemon.version.validHostList
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One kingcuptide daemon: creates, connects, starts and stops its components. */
class Daemon(
    private val settings: DaemonSettings,
    private val clock: Clock,
    firstIncarnation: Incarnation,
    random: Random,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val controlScope = CoroutineScope(scope.coroutineContext + Dispatchers.Default.limitedParallelism(1))
    private val selector = SelectorManager(Dispatchers.IO)
    private val codec = frameCodec()
    private val self = settings.toHostEntry()
    private val peers = PeerAddressTable(settings.seeds)
    val metrics = DaemonMetrics()
    private val counters = MeteredRequestCounters(metrics)

    private val membership =
        membership(
            MembershipSettings(
                seeds = settings.seeds.map {
                    it.toHostEntry()
                },
            ),
            self,
            firstIncarnation,
            clock,
            random.split(),
        )
    private val versions =
        versionCoordinator(
            clock,
            random.split(),
            membership,
            VersionSettings(
                platformRegion = settings.platform.region,
                sourceCallsPerSecond = settings.platform.callsPerSecondForAll,
                joinWait = settings.joinWaitMs.milliseconds,
            ),
            deflatePayloadCodec(),
            ::validDocument,
            ::validHostList,
        )
    private val convergence =
        convergenceCollector(ConvergenceSettings(), membership, ::localVersion, clock, random.split())
    private val suspects = suspectTracker(membership, firstIncarnation, clock, random.split(), counters = counters)
    private val gate =
        admissionGate(
            settings.region,
            ServiceSpec(slots = 1, maxConnections = 1),
            gateDependencies(),
            clock,
            random.split(),
            counters = counters,
        )
    private val keySettings =
        KeySettings(
            resendWindow = settings.resendWindowMs.milliseconds,
            maxRemaining = settings.maxKeyedDeadlineMs.milliseconds,
        )
    private val keys =
        KeyDecisions(
            membership,
            versions,
            keyClaimer(settings.host, firstIncarnation, clock, keySettings),
            keyWitness(settings.host, clock, keySettings),
        )
    private val decisions = ControlDecisions(membership, versions, convergence, suspects, keys, gate)

    private val target = TargetClient(settings.target)
    private val gateHandler =
        GateHandler(
            settings.region,
            gate,
            target,
            KeyGuard(keys.claimer) {
                transport.send(keys.deliver(it))
            },
            ::snapshot,
            clock,
            metrics,
        )
    private val transport =
        ControlTransport(scope, selector, codec, settings.host, settings.region, peers, metrics) { loop.receive(it) }
    private val loop: ControlLoop = ControlLoop(controlScope, decisions, { transport.send(it) }, ::afterStep)
    private val platformClient = HttpClient(CIO) { install(HttpTimeout) }
    private val source =
        SourceCaller(
            scope,
            HttpPlatform(platformClient, settings.platform.url, settings.platform.callTimeoutMs.milliseconds),
            metrics,
        ) { effect, outcome -> loop.submit { versions.sourceOutcome(effect.call, effect.kind, outcome) } }
    private val links =
        PeerLinks(
            scope,
            selector,
            codec,
            clock,
            Hello(PROTOCOL_VERSION, settings.host, firstIncarnation),
            onFault = metrics::fault,
            serveLocally = { pipe -> scope.launch { serveRequests(pipe) } },
            onUnreachable = membership::reportConnectionFailure,
        )
    private val chooser = targetChooser(membership, clock, random.split(), counters = counters)
    private val entry =
        EntryHandler(
            settings.region,
            settings.maxEntryRequests,
            settings.maxKeyedDeadlineMs.milliseconds,
            entryDependencies(),
            chooser,
            links,
            clock,
            random.split(),
            counters,
            metrics,
        )
    private val listener =
        PeerListener(scope, selector, codec, metrics::fault, ::serveRequests, transport::serveConnection)
    private val explainer = Explainer(settings.host, settings.region, membership, chooser, ::snapshot)
    private val admin = AdminHandler(settings, decisions, loop, explainer, metrics, this::isReady)
    private val http = HttpServers(settings, entry, admin)
    private val targetMonitor = TargetMonitor(settings.target, target, gate, membership)
    private val fleetIps = FleetIps()

    @Volatile
    private var draining = false
    private var appliedSnapshot: Snapshot? = null
    private var appliedHosts: HostList? = null

    init {
        registerDecisionMetrics(metrics, decisions)
        metrics.registerGauge("kingcuptide_entry_requests_in_flight") { entry.requestsInFlight }
    }

    /** Binds all ports and starts all components; requests are refused until a configuration is in force. */
    suspend fun start() {
        transport.start(settings.ip, settings.peerPort)
        listener.start(settings.ip, settings.peerPort)
        loop.start()
        http.start()
        scope.launch { targetMonitor.run() }
        log.info(
            "daemon_started",
            "host" to settings.host,
            "failure_domain" to settings.failureDomain,
            "region" to settings.region,
        )
    }

    /** Whether new requests are accepted. */
    fun isReady(): Boolean = versions.canAcceptWork() && !draining

    /**
     * Stops gracefully: announces the stop to peers, then refuses new requests and waits for those in flight, up to the
     * drain limit.
     */
    suspend fun stop() {
        log.info("stop_begun", "in_flight" to entry.requestsInFlight + gate.inFlight)
        loop.submit { membership.leave() }
        delay(settings.leaveNoticeMs.milliseconds)
        draining = true
        val drained = CompletableDeferred<Unit>()
        gate.drain { drained.complete(Unit) }
        val finished =
            withTimeoutOrNull(drainLimit()) {
                drained.await()
                while (entry.requestsInFlight > 0) delay(DRAIN_POLL_INTERVAL)
                delay(RESPONSE_FLUSH_TIME)
            }
        http.stop()
        scope.cancel()
        platformClient.close()
        target.close()
        log.info("stop_ended", "drained" to (finished != null), "cut_off" to entry.requestsInFlight + gate.inFlight)
    }

    /** At least the longest timeout of any route, so that a graceful stop aborts no request. */
    private fun drainLimit(): Duration {
        val longestTimeoutMs = snapshot()?.document?.routes?.values?.maxOfOrNull { it.timeoutMs } ?: 0
        return maxOf(settings.drainMs, longestTimeoutMs).milliseconds + RESPONSE_FLUSH_TIME
    }

    private fun snapshot(): Snapshot? = versions.document.current?.value

    private suspend fun serveRequests(pipe: FramePipe) {
        val connection = gateConnection(clock, load = gate::load)
        GateLink(scope, pipe, connection, clock, metrics::fault, gateHandler::handle).serve()
    }

    private fun afterStep() {
        source.call(versions.takeSourceEffects())
        applySnapshot()
        applyHosts()
    }

    private fun applySnapshot() {
        val current = snapshot() ?: return
        if (current === appliedSnapshot) return
        val before = appliedSnapshot
        appliedSnapshot = current
        current.document.services[settings.service]?.let(gate::configure)
        suspects.configure(current.document.limits)
        log.info("version_in_force", "version" to current.version, "before" to before?.version)
    }

    private fun applyHosts() {
        val current = versions.hostList.current?.value ?: return
        if (current === appliedHosts) return
        appliedHosts = current
        membership.updateHostList(current)
        peers.update(current)
        fleetIps.update(current)
        links.retain(current.hosts.map { it.host }.toSet() + settings.host)
        log.info("host_list_in_force", "revision" to current.revision, "hosts" to current.hosts.size)
    }

    private fun localVersion(): LocalVersion = LocalVersion(snapshot()?.version ?: 0)

    private fun gateDependencies() =
        object : GateDependencies {
            override fun canAcceptWork(): Boolean = versions.canAcceptWork()

            override fun isTakenOut(): Boolean = snapshot()?.isTakenOut(settings.failureDomain) ?: false

            override fun verdict(fingerprint: Fingerprint, reported: Boolean): Verdict = suspects.verdict(
                fingerprint,
                reported,
            )

            override fun answered(fingerprint: Fingerprint) = suspects.answered(fingerprint)

            override fun targetCrashed(inFlight: Map<Fingerprint, HomeRegions>) {
                log.warn("target_died", "in_flight" to inFlight.size)
                suspects.targetCrashed(inFlight)
            }
        }

    private fun entryDependencies() =
        object : EntryDependencies {
            override fun snapshot(): Snapshot? = this@Daemon.snapshot()

            override fun canAcceptWork(): Boolean = versions.canAcceptWork()

            override fun isDraining(): Boolean = draining

            override fun isSuspect(fingerprint: Fingerprint): Boolean = suspects.verdict(fingerprint) != Verdict.CLEAR

            override fun isFleetHost(ip: String): Boolean = fleetIps.contains(ip)
        }

    private companion object {
        val DRAIN_POLL_INTERVAL = 10.milliseconds
        val RESPONSE_FLUSH_TIME = 300.milliseconds
        val log = eventLog("daemon")
    }
}

private fun Random.split(): Random = Random(nextLong())

private fun DaemonSettings.toHostEntry() = HostEntry(host, ip, peerPort, httpPort, failureDomain, region, service)

private fun SeedPeer.toHostEntry() =
    HostEntry(host, ip, peerPort, httpPort = 0, failureDomain = failureDomain, region = region, service = ServiceId(""))
