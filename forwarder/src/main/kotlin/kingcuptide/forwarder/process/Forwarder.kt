package kingcuptide.forwarder.process

import io.netty.channel.EventLoop
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.PlannedStop
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.DaemonLocation
import kingcuptide.coordination.request.Fingerprint
import kingcuptide.coordination.request.RetryAllowance
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.request.TargetPicker
import kingcuptide.coordination.request.TargetState
import kingcuptide.coordination.version.CallerLimits
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.ReaderRole
import kingcuptide.coordination.version.ServiceTraits
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.CallerRequest
import kingcuptide.forwarder.connection.CallerServer
import kingcuptide.forwarder.connection.PeerCodec
import kingcuptide.forwarder.connection.PeerFrame
import kingcuptide.forwarder.connection.PeerListener
import kingcuptide.forwarder.connection.PeerMesh
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import kingcuptide.forwarder.request.EntryKnowledge
import kingcuptide.forwarder.request.EntryService
import kingcuptide.forwarder.request.GateEndpoint
import kingcuptide.forwarder.request.GateService
import kingcuptide.forwarder.request.PeerGateTransport
import kingcuptide.forwarder.request.TargetClient
import kingcuptide.forwarder.request.TargetMonitor
import kingcuptide.forwarder.request.toGateLoadReport
import kingcuptide.forwarder.request.toMessage
import kingcuptide.forwarder.version.PeerGroup
import kingcuptide.forwarder.version.PublishedStateSync
import kingcuptide.forwarder.version.ReaderRoleMonitor
import kingcuptide.forwarder.version.SourceFollower
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One daemon: entry for the callers on its host and gate of the target beside it, on one event loop. */
class Forwarder(
    firstSettings: ForwarderSettings,
    private val parts: PlatformAdapter,
    private val loop: EventLoop,
    private val clock: Clock,
    private val incarnation: Long,
    random: Random,
) {
    private var settings = firstSettings
    private val scope = CoroutineScope(SupervisorJob() + LoopDispatcher(loop) + faultHandler)
    private val picture = PublishedState(clock, parts.decoder, BeliefLog())
    private val duty = ReaderRole(settings.host.value)
    private val gate = TargetGate(clock)
    private val metrics = DaemonMetrics()
    private val counts = TrafficCounts(clock)
    private val suspects = CrashSuspects(settings.host, incarnation, clock)
    private val targetAddress = addressOf(settings.targetAddress)
    private val watch =
        TargetMonitor(loop, scope, clock, targetAddress, parts.names, gate, ::ownTraits, ::targetChanged)
    private val client = TargetClient(loop, clock, targetAddress)
    private val gateService =
        GateService(scope, clock, gate, client, parts.names, ::currentTarget, watch, suspects, metrics)
    private val endpoint = GateEndpoint(gateService, gate::loadReport)
    private val mesh: PeerMesh =
        PeerMesh(loop, clock, settings.ip, settings.peerPort, greeting(), Peers(), ::isNear, ::ping, counts)
    private val state =
        PublishedStateSync(clock, parts.source.parts.map { it.prefix }, picture, PeerCircle(), ::changed)
    private val follower =
        SourceFollower(scope, clock, parts.source, state, random, settings.isFirstStart, duty)
    private val dutyWatch = ReaderRoleMonitor(clock, duty, picture, follower, mesh, ::isNear)
    private val stop = PlannedStop(clock)
    private val ways = PeerGateTransport(settings.ip, gateService, { mesh }) { stop.isStopping }
    private val place = DaemonLocation(settings.failureDomain, settings.region) { settings.regionByDomain[it] }
    private val picker = TargetPicker(clock, place, random)
    private val allowance = RetryAllowance(clock, { settings.retries }) { picture.targets.size }
    private val entry =
        EntryService(
            clock,
            parts.names,
            EntryKnowledge({ settings.service }, place, picture, picker, allowance, suspects),
            ways,
            metrics,
            counts,
        )
    private val callers =
        CallerServer(loop, scope, clock, settings.callerAddress, ::callerLimits, ::serveCaller)
    private val readiness =
        CallerServer(loop, scope, clock, settings.readinessAddress, { FIRST_LIMITS }) {
            readinessAnswers.answerTo(it.path)
        }
    private val readinessAnswers =
        ReadinessAnswers(parts.readinessPath, metrics) { !stop.isStopping && picture.routing != null }

    init {
        counts.showIn(metrics)
        metrics.registerGauge("kingcuptide_entry_requests_in_flight") { callers.inFlight }
        metrics.registerGauge("kingcuptide_gate_requests_in_flight") { gate.inFlight }
        metrics.registerGauge("kingcuptide_gate_requests_waiting") { gate.queued }
        metrics.registerGauge("kingcuptide_configuration_version") { picture.routing?.number ?: 0L }
        metrics.registerGauge("kingcuptide_knowledge_age_ms") { knowledgeAgeMs() }
        metrics.registerGauge("kingcuptide_source_calls_made") { follower.calls }
        metrics.registerGauge("kingcuptide_log_lines_dropped") { LogQueue.droppedLines.get() }
    }

    /** Binds all ports and starts to work; called once, off the event loop. */
    fun start() {
        mesh.listen()
        readiness.listen()
        callers.listen()
        loop.execute {
            follower.start()
            watch.start()
            scope.launch { repeat(TargetGate.MAX_SERVE_INTERVAL) { gate.serve() } }
            scope.launch { repeat(PeerMesh.TICK) { housekeeping() } }
        }
        log.info(
            "daemon_started",
            "host" to settings.host,
            "failure_domain" to settings.failureDomain,
            "region" to settings.region,
            "service" to settings.service,
            "incarnation" to incarnation,
        )
    }

    /** Takes over changed settings; addresses stay as they were at the start. */
    fun reload(changed: ForwarderSettings) = loop.execute {
        if (changed == settings) return@execute
        log.info("settings_changed", "service" to changed.service, "service_before" to settings.service)
        val fixed = settings
        settings = changed
        if (changed.addresses() !=
            fixed.addresses()
        ) {
            log.warn("settings_need_restart", "reason" to "an address changed")
        }
        updateGate()
    }

    /** Stops as planned; [onStopped] is called once everything read has its answer, or the limit has passed. */
    fun stop(onStopped: () -> Unit) = loop.execute {
        val limit = settings.stopLimit
        if (!stop.begin(limit)) return@execute
        val lastMs = (PlannedStop.maxStopDuration(limit) + LAST_BYTES).inWholeMilliseconds
        loop.schedule(onStopped, lastMs, TimeUnit.MILLISECONDS)
        log.info("stop_begun", "in_flight" to callers.inFlight, "at_target" to gate.inFlight)
        callers.closeAfterAnswers()
        updateGate()
        mesh.pingNow()
        scope.launch { awaitIdle(onStopped) }
    }

    private suspend fun awaitIdle(onStopped: () -> Unit) {
        while (!stop.isOver(isIdle = callers.inFlight == 0 && gate.inFlight + gate.queued == 0)) {
            delay(STOP_CHECK.inWholeMilliseconds)
        }
        log.info("stop_ended", "in_flight" to callers.inFlight, "at_target" to gate.inFlight)
        loop.schedule(onStopped, LAST_BYTES.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        callers.close()
        mesh.close()
    }

    private suspend fun repeat(interval: Duration, action: () -> Unit) {
        while (true) {
            runCatching(action).onFailure { log.error("task_failed", it) }
            delay(interval.inWholeMilliseconds)
        }
    }

    private fun housekeeping() {
        mesh.tick()
        callers.tick()
        readiness.tick()
        picture.tick()
        suspects.tick()
        counts.tick()
        dutyWatch.tick()
        updateGate()
    }

    private fun updateGate() {
        val stateBefore = gate.state
        val target = currentTarget()?.let(picture::target)
        val traits = ownTraits()
        if (traits != null) {
            val perSecond = traits.coldPerSecond * settings.coldRateFactor + settings.coldSlack * COLD_SLACK_SHARE
            gate.coldRequestsPerSecond = perSecond.toInt().coerceAtLeast(1)
        }
        if (target != null) gate.slots = target.entry.slots
        gate.state = when {
            stop.isStopping || target?.entry?.leaving == true -> TargetState.LEAVING
            settings.failureDomain in picture.takenOut -> TargetState.TAKEN_OUT
            watch.isDown -> TargetState.DOWN
            else -> TargetState.OPEN
        }
        if (stateBefore == TargetState.TAKEN_OUT && gate.state == TargetState.OPEN) watch.suspect("taken back")
    }

    /** The target that answers at the address, or else the newest that is published there. */
    private fun currentTarget(): TargetId? =
        watch.targetId ?: picture.targetAt(settings.targetAddress)?.entry?.id

    private fun ownTraits(): ServiceTraits? = picture.routing?.services?.get(settings.service)

    private fun targetChanged() {
        updateGate()
        if (watch.isDown) {
            reportDeath(gateService.takeBrokenOff())
            gateService.targetDown()
        }
        gate.serve()
    }

    private fun reportDeath(inFlight: List<Fingerprint>) {
        if (inFlight.isEmpty()) return
        log.info("target_died", "in_flight" to inFlight.size)
        val message = PeerMessage.Suspects(suspects.targetCrashed(inFlight))
        mesh.distinctPeers().forEach { it.send(message) }
    }

    private fun changed() {
        mesh.retain(picture.targets.mapTo(HashSet()) { it.entry.ip })
        picker.retain(picture.targets.mapTo(HashSet()) { it.entry.id })
        updateGate()
        gate.serve()
    }

    /** What comes so late in a stop that it could not end before it is refused, and may go elsewhere. */
    private suspend fun serveCaller(request: CallerRequest): BufferedResponse {
        return if (stop.isTooLate(request.receivedAt)) entry.refuseAtStop(request) else entry.serve(request)
    }

    private fun callerLimits(): CallerLimits = picture.routing?.callerLimits ?: FIRST_LIMITS

    private fun isNear(session: PeerSession): Boolean = regionOf(session) == settings.region

    private fun regionOf(session: PeerSession): RegionId? =
        session.peer?.let { settings.regionByDomain[FailureDomainId(it.failureDomain)] }

    private fun greeting() =
        PeerMessage.Hello(PeerCodec.PROTOCOL, settings.host.value, settings.failureDomain.value, incarnation)

    /** Age of what is believed, or -1 while nothing is known. */
    private fun knowledgeAgeMs(): Long = picture.age().let { if (it.isFinite()) it.inWholeMilliseconds else -1 }

    private fun ping(): PeerMessage.Ping {
        return PeerMessage.Ping(
            state.asOf(),
            knowledgeAgeMs(),
            dutyWatch.ownRank,
            stop.isStopping,
            gate.loadReport().toMessage(),
            picture.digest(),
            dutyWatch.ownState.ordinal,
        )
    }

    private inner class Peers : PeerListener {
        override fun opened(session: PeerSession) {
            log.info("peer_opened", "peer" to session.peer?.host, "own" to session.isOwn)
            if (session.isOwn) session.send(ping())
        }

        override fun received(session: PeerSession, frame: PeerFrame) {
            when (val message = frame.message) {
                is PeerMessage.Ping -> pinged(session, message)
                is PeerMessage.Whole -> state.received(message)
                is PeerMessage.ItemUpdates -> state.received(message)
                is PeerMessage.Ask -> state.asked(session, message)
                is PeerMessage.Suspects -> suspects.merge(message.records)
                is PeerMessage.Forward, is PeerMessage.Cancel -> endpoint.received(session, frame)
                is PeerMessage.Answer, is PeerMessage.Refusal, is PeerMessage.Loss -> ways.received(session, frame)
                is PeerMessage.Hello -> Unit
            }
        }

        override fun closed(session: PeerSession, reason: String) {
            if (session.peer !=
                null
            ) {
                log.info("peer_closed", "peer" to session.peer?.host, "own" to session.isOwn, "reason" to reason)
            }
            endpoint.closed(session)
            ways.closed(session)
        }

        override fun failed(session: PeerSession, cause: Throwable) {
            log.info("peer_failed", "peer" to session.peer?.host, "reason" to cause)
        }

        private fun pinged(session: PeerSession, ping: PeerMessage.Ping) {
            state.pinged(session, ping)
            val host = session.peer?.host ?: return
            if (!session.isOwn || host == settings.host.value) return
            picture.targets.filter { mesh.open(it.entry.ip) === session }
                .forEach { picker.recordLoadReport(it.entry.id, ping.loadReport.toGateLoadReport()) }
        }
    }

    private inner class PeerCircle : PeerGroup {
        override fun sessions(): Collection<PeerSession> = mesh.distinctPeers()

        override fun regionOf(session: PeerSession): RegionId? = this@Forwarder.regionOf(session)

        override val ownRegion: RegionId get() = settings.region
    }

    private companion object {
        /** Until the first configuration is known, callers are held to what most servers allow. */
        val FIRST_LIMITS = CallerLimits(16_384, 1_048_576, 3.seconds, 15.seconds)

        /** Share of the allowed slack that is used, since the last of it is for requests in transit. */
        const val COLD_SLACK_SHARE = 0.4

        val STOP_CHECK = 50.milliseconds

        /** Time for the last answers to leave the socket buffers. */
        val LAST_BYTES = 100.milliseconds
        val log = eventLog("daemon")

        /** A task that fails is a fault of the program; it ends alone and is told. */
        val faultHandler = CoroutineExceptionHandler { _, cause -> log.error("task_failed", cause) }

        fun addressOf(address: String): InetSocketAddress =
            InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
    }
}
