package kingcuptide.forwarder.process

import io.netty.channel.EventLoop
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.Fingerprint
import kingcuptide.coordination.request.OwnPlace
import kingcuptide.coordination.request.RetryAllowance
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.request.TargetPicker
import kingcuptide.coordination.request.TargetState
import kingcuptide.coordination.version.CallerLimits
import kingcuptide.coordination.version.FactDecoder
import kingcuptide.coordination.version.FleetPicture
import kingcuptide.coordination.version.ReaderClaim
import kingcuptide.coordination.version.ReaderDuty
import kingcuptide.coordination.version.ServiceTraits
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.CallerRequest
import kingcuptide.forwarder.connection.CallerServer
import kingcuptide.forwarder.connection.HttpAnswer
import kingcuptide.forwarder.connection.NO_BYTES
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
import kingcuptide.forwarder.request.PeerWays
import kingcuptide.forwarder.request.TargetClient
import kingcuptide.forwarder.request.TargetWatch
import kingcuptide.forwarder.request.toBurden
import kingcuptide.forwarder.request.toMessage
import kingcuptide.forwarder.version.Circle
import kingcuptide.forwarder.version.SharedState
import kingcuptide.forwarder.version.Source
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

/** What the adapter to a platform brings. */
class PlatformParts(
    val names: HeaderNames,
    val decoder: FactDecoder,
    val source: Source,
    val readinessPath: String,
)

/** One daemon: entry for the callers on its host and gate of the target beside it, on one event loop. */
class Forwarder(
    firstSettings: ForwarderSettings,
    private val parts: PlatformParts,
    private val loop: EventLoop,
    private val clock: Clock,
    private val incarnation: Long,
    random: Random,
) {
    private var settings = firstSettings
    private val scope = CoroutineScope(SupervisorJob() + LoopDispatcher(loop) + faultHandler)
    private val picture = FleetPicture(clock, parts.decoder, BeliefLog())
    private val duty = ReaderDuty(settings.host.value)
    private val gate = TargetGate(clock)
    private val metrics = DaemonMetrics()
    private val suspects = CrashSuspects(settings.host, incarnation, clock)
    private val targetAddress = addressOf(settings.targetAddress)
    private val watch =
        TargetWatch(loop, scope, clock, targetAddress, parts.names, gate, ::ownTraits, ::targetChanged)
    private val client = TargetClient(loop, clock, targetAddress)
    private val gateService =
        GateService(scope, clock, gate, client, parts.names, ::currentTarget, watch, suspects, metrics)
    private val endpoint = GateEndpoint(gateService, gate::burden)
    private val mesh: PeerMesh =
        PeerMesh(loop, clock, settings.ip, settings.peerPort, greeting(), Peers(), ::isNear, ::ping)
    private val state =
        SharedState(clock, parts.source.parts.map { it.prefix }, picture, PeerCircle(), ::changed)
    private val follower =
        SourceFollower(scope, clock, parts.source, state, random, settings.isFirstStart, duty)
    private val ways = PeerWays(settings.ip, gateService, { mesh }) { stopping }
    private val picker =
        TargetPicker(clock, OwnPlace(settings.failureDomain, settings.region) { settings.regionByDomain[it] }, random)
    private val allowance = RetryAllowance(clock, { settings.retries }) { picture.targets.size }
    private val entry =
        EntryService(
            clock,
            parts.names,
            EntryKnowledge({ settings.service }, { settings.regionByDomain[it] }, picture, picker, allowance, suspects),
            ways,
            metrics,
        )
    private val callers =
        CallerServer(loop, scope, clock, settings.callerAddress, ::callerLimits, ::serveCaller)
    private val readiness =
        CallerServer(loop, scope, clock, settings.readinessAddress, {
            FIRST_LIMITS
        }) { request -> readinessAnswer(request.path) }
    private var stopBegunAt: Duration? = null
    private val stopping: Boolean get() = stopBegunAt != null
    private var wasReady = false

    init {
        metrics.watchValue("kingcuptide_entry_requests_in_flight") { callers.inFlight }
        metrics.watchValue("kingcuptide_gate_requests_in_flight") { gate.inFlight }
        metrics.watchValue("kingcuptide_gate_requests_waiting") { gate.queued }
        metrics.watchValue("kingcuptide_configuration_version") { picture.routing?.number ?: 0L }
        metrics.watchValue("kingcuptide_knowledge_age_ms") { knowledgeAgeMs() }
        metrics.watchValue("kingcuptide_source_calls_made") { follower.calls }
    }

    /** Binds all ports and starts to work; called once, off the event loop. */
    fun start() {
        mesh.listen()
        readiness.listen()
        callers.listen()
        loop.execute {
            follower.start()
            watch.start()
            scope.launch { repeat(TargetGate.SERVE_INTERVAL) { gate.serve() } }
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
        if (stopping) return@execute
        stopBegunAt = clock.now()
        log.info("stop_begun", "in_flight" to callers.inFlight, "at_target" to gate.inFlight)
        callers.closeAfterAnswers()
        updateGate()
        val message = ping()
        mesh.inbound.forEach { it.send(message) }
        scope.launch {
            val startedAt = clock.now()
            while (clock.now() - startedAt < settings.stopLimit - STOP_MARGIN) {
                delay(STOP_CHECK.inWholeMilliseconds)
                val idle = callers.inFlight == 0 && gate.inFlight + gate.queued == 0
                if (idle && clock.now() - startedAt >= STOP_NOTICE) break
            }
            log.info("stop_ended", "in_flight" to callers.inFlight, "at_target" to gate.inFlight)
            callers.close()
            mesh.close()
            loop.schedule(onStopped, LAST_BYTES.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
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
        decideDuty()
        updateGate()
    }

    private fun decideDuty() {
        val claims = mesh.ownSessions().mapNotNull { session ->
            val ping = session.lastPing ?: return@mapNotNull null
            val sinceMs = (clock.now() - session.lastPingAt).inWholeMilliseconds
            if (ping.contactAgeMs < 0) return@mapNotNull null
            val allowanceMs = if (isNear(session)) PING_ALLOWANCE_MS else PING_ALLOWANCE_MS * PeerMesh.FAR_PINGS
            ReaderClaim(
                session.peer?.host.orEmpty(),
                ping.readerRank,
                (ping.contactAgeMs + sinceMs - allowanceMs).milliseconds,
            )
        }
        val before = duty.reads
        if (duty.decide(claims, ownReaderRank(), picture.age()) != before) {
            log.info("reader_duty", "reads" to duty.reads, "age_ms" to picture.age().inWholeMilliseconds)
        }
    }

    /** Readers near the source come first: their reads cross no region. */
    private fun ownReaderRank(): Int =
        follower.readTime?.inWholeMilliseconds?.div(READ_TIME_STEP_MS)?.toInt() ?: UNKNOWN_RANK

    private fun updateGate() {
        val stateBefore = gate.state
        val target = currentTarget()?.let(picture::target)
        val traits = ownTraits()
        if (traits != null) {
            val perSecond = traits.coldPerSecond * settings.coldRateFactor + settings.coldSlack * COLD_SLACK_SHARE
            gate.coldRate = perSecond.toInt().coerceAtLeast(1)
        }
        if (target != null) gate.slots = target.entry.slots
        gate.state = when {
            stopping || target?.entry?.leaving == true -> TargetState.LEAVING
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
        val message = PeerMessage.Suspects(suspects.targetDied(inFlight))
        mesh.distinctPeers().forEach { it.send(message) }
    }

    private fun changed() {
        mesh.retain(picture.targets.mapTo(HashSet()) { it.entry.ip })
        picker.retain(picture.targets.mapTo(HashSet()) { it.entry.id })
        updateGate()
        gate.serve()
    }

    /** What comes so late in a stop that it could not end before it is refused, and may go elsewhere. */
    private suspend fun serveCaller(request: CallerRequest): HttpAnswer {
        val since = stopBegunAt ?: return entry.serve(request)
        return if (request.receivedAt - since > LAST_REQUESTS) entry.refuseAtStop(request) else entry.serve(request)
    }

    private fun callerLimits(): CallerLimits = picture.routing?.callerLimits ?: FIRST_LIMITS

    private fun readinessAnswer(path: String): HttpAnswer {
        if (path == METRICS_PATH) return HttpAnswer(200, METRICS_HEADERS, metrics.scrape().encodeToByteArray())
        if (path != parts.readinessPath) return HttpAnswer(ResultCode.UNKNOWN_ROUTE.httpStatus, emptyList(), NO_BYTES)
        val ready = !stopping && picture.routing != null
        if (ready != wasReady) {
            wasReady = ready
            log.info("readiness", "ready" to ready, "version" to picture.routing?.number)
        }
        return HttpAnswer(if (ready) 200 else ResultCode.NO_CONFIGURATION.httpStatus, emptyList(), NO_BYTES)
    }

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
            if (duty.reads && follower.isInContact) ownReaderRank() else -1,
            stopping,
            gate.burden().toMessage(),
            picture.digest(),
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
                is PeerMessage.News -> state.received(message)
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
                .forEach { picker.reported(it.entry.id, ping.burden.toBurden()) }
        }
    }

    private inner class PeerCircle : Circle {
        override fun sessions(): Collection<PeerSession> = mesh.distinctPeers()

        override fun regionOf(session: PeerSession): RegionId? = this@Forwarder.regionOf(session)

        override val ownRegion: RegionId get() = settings.region
    }

    private companion object {
        /** Until the first configuration is known, callers are held to what most servers allow. */
        val FIRST_LIMITS = CallerLimits(16_384, 1_048_576, 3.seconds, 15.seconds)

        const val METRICS_PATH = "/metrics"
        val METRICS_HEADERS = listOf("Content-Type" to "text/plain; version=0.0.4")

        /** A ping is up to this old when the next one comes. */
        const val PING_ALLOWANCE_MS = 1_000L
        const val READ_TIME_STEP_MS = 10L
        const val UNKNOWN_RANK = 1_000_000

        /** Share of the allowed slack that is used, since the last of it is for requests in transit. */
        const val COLD_SLACK_SHARE = 0.4

        /** The platform excuses a target that is at work in the last sixth of the limit. */
        val STOP_MARGIN = 800.milliseconds
        val STOP_CHECK = 50.milliseconds

        /** Time that callers need to see that this daemon is no longer ready. */
        val STOP_NOTICE = 2_500.milliseconds

        /** Time after the word to stop in which requests are still taken: callers may know of no other daemon. */
        val LAST_REQUESTS = 3_000.milliseconds
        val LAST_BYTES = 100.milliseconds
        val log = eventLog("daemon")

        /** A task that fails is a fault of the program; it ends alone and is told. */
        val faultHandler = CoroutineExceptionHandler { _, cause -> log.error("task_failed", cause) }

        fun addressOf(address: String): InetSocketAddress =
            InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
    }
}
