package kingcuptide.forwarder.process

import io.netty.channel.EventLoop
import kingcuptide.coordination.connection.CrashRecord
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HoldUpDetector
import kingcuptide.coordination.process.PlannedStop
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.request.CrashCandidate
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.DaemonLocation
import kingcuptide.coordination.request.Distance
import kingcuptide.coordination.request.LeavingTargets
import kingcuptide.coordination.request.RetryAllowance
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.request.TargetInstance
import kingcuptide.coordination.request.TargetPicker
import kingcuptide.coordination.request.TargetState
import kingcuptide.coordination.request.instance
import kingcuptide.coordination.request.quota.QuotaAccount
import kingcuptide.coordination.request.quota.QuotaPeer
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
import kingcuptide.forwarder.connection.StatePeer
import kingcuptide.forwarder.request.EntryDependencies
import kingcuptide.forwarder.request.EntryService
import kingcuptide.forwarder.request.GateEndpoint
import kingcuptide.forwarder.request.GateService
import kingcuptide.forwarder.request.OwnTargetLeaving
import kingcuptide.forwarder.request.OwnTargetUse
import kingcuptide.forwarder.request.PeerGateTransport
import kingcuptide.forwarder.request.QuotaService
import kingcuptide.forwarder.request.RunningRequests
import kingcuptide.forwarder.request.SkippedResponseLog
import kingcuptide.forwarder.request.TargetClient
import kingcuptide.forwarder.request.TargetFailure
import kingcuptide.forwarder.request.TargetMonitor
import kingcuptide.forwarder.request.TargetNotices
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

/** One daemon: the entry of the callers on its host and the gate of the target beside it, on one event loop. */
class Forwarder(
    firstSettings: ForwarderSettings,
    private val platform: PlatformAdapter,
    private val loop: EventLoop,
    private val clock: Clock,
    private val incarnation: Long,
    random: Random,
) {
    private var settings = firstSettings

    /** When another host was last heard of; the start of this daemon counts as contact. */
    private var lastPeerMessageAt = clock.now()
    private val starts = StartQueue(loop, clock)
    private val scope = CoroutineScope(SupervisorJob() + LoopDispatcher(loop) + faultHandler)
    private val published = PublishedState(clock, platform.decoder, PublishedStateLog())
    private val readerRole =
        ReaderRole(settings.host.value, settings.failureDomain, settings.region, settings.faultTolerance)
    private val gate = TargetGate(clock)
    private val metrics = DaemonMetrics()
    private val counts = TrafficCounts(clock)
    private val loopDelay = LoopDelayMonitor(clock, TICK_INTERVAL, details = ::requestsInHand)
    private val suspects = CrashSuspects(settings.host, incarnation, clock)
    private val targetAddress = addressOf(settings.targetAddress)
    private val leaving = LeavingTargets()
    private val targetLeaving = OwnTargetLeaving(published, leaving)
    private val notices = TargetNotices(clock, platform.names, gate, ::targetLeaves)
    private val targetMonitor =
        TargetMonitor(loop, scope, clock, targetAddress, platform.names, gate, notices, ::ownTraits, ::targetChanged)
    private val running = RunningRequests(clock)
    private val targetClient =
        TargetClient(loop, clock, targetAddress, SkippedResponseLog(platform.names, metrics)) {
            gateService.idleConnectionEnded()
        }
    private val gateService: GateService =
        GateService(
            scope,
            clock,
            gate,
            targetClient,
            platform.names,
            ::currentTarget,
            targetMonitor,
            notices,
            suspects,
            running,
            metrics,
            { stop.responseBy(it) },
            starts::addFirst,
            { frequentTask.startIfNeeded() },
            targetLeaving::instanceOf,
        )
    private val gateEndpoint = GateEndpoint(clock, starts, gateService, gate::loadReport)
    private val mesh: PeerMesh =
        PeerMesh(loop, clock, settings.ip, settings.peerPort, hello(), PeerEvents(), ::distanceTo, ::ping, counts)
    private val stateSync =
        PublishedStateSync(
            clock,
            platform.source.parts.map { it.prefix },
            published,
            MeshPeerGroup(),
            ::publishedStateChanged,
        )
    private val follower =
        SourceFollower(scope, clock, platform.source, stateSync, random, settings.isFirstStart, readerRole)
    private val roleMonitor =
        ReaderRoleMonitor(
            clock,
            readerRole,
            published,
            follower,
            settings.region,
            ::regionOf,
            mesh::sessionsInUse,
        ) { mesh.pingNow() }
    private val stop = PlannedStop(clock)
    private val holdUps = HoldUpDetector(clock, TICK_INTERVAL * 2)
    private val frequentTask: RepeatedTask =
        RepeatedTask(loop, FREQUENT_INTERVAL, { gate.queued > 0 || quota.isPending }, ::serveWaiting)
    private val targetUse =
        OwnTargetUse(published, gate, targetMonitor::targetId, stateSync::asOf) {
            mesh.distinctPeers().mapNotNull { it.lastPing }
        }
    private val gateTransport =
        PeerGateTransport(settings.ip, gateService, { mesh }, targetUse::inUse) { !stop.servesTarget }
    private val location = DaemonLocation(settings.failureDomain, settings.region) { settings.regionByDomain[it] }
    private val picker = TargetPicker(clock, location, random)
    private val quota =
        QuotaService(
            settings.host,
            ownQuotaPeer(),
            clock,
            random,
            published,
            metrics,
            { stop.isStopping },
            { frequentTask.startIfNeeded() },
            starts::add,
            mesh::distinctPeers,
        )
    private val allowance = RetryAllowance(clock, { settings.retries }) { published.targets.size }
    private val entryDependencies =
        EntryDependencies(
            { settings.service },
            location,
            published,
            picker,
            allowance,
            suspects,
            running,
            leaving,
            { settings.revocation },
            { clock.now() - lastPeerMessageAt },
            quota,
            random,
            stop::responseBy,
            starts::awaitTurn,
        )
    private val entry = EntryService(clock, platform.names, entryDependencies, gateTransport, metrics, counts)
    private val callers =
        CallerServer(
            loop,
            scope,
            clock,
            settings.callerAddress,
            ::callerLimits,
            ::refuseByKey,
            entry::isIdempotent,
            entry::refuseAtStop,
            starts,
            ::serveCaller,
        )
    private val readiness =
        CallerServer(loop, scope, clock, settings.readinessAddress, { DEFAULT_CALLER_LIMITS }) {
            readinessEndpoint.respond(it.path)
        }
    private val readinessEndpoint =
        ReadinessEndpoint(platform.readinessPath, metrics) { !stop.isStopping && published.routing != null }

    init {
        counts.registerIn(metrics)
        callers.registerIn(metrics)
        metrics.registerGauge("kingcuptide_entry_requests_in_flight") { callers.inFlight }
        metrics.registerGauge("kingcuptide_gate_requests_in_flight") { gate.inFlight }
        metrics.registerGauge("kingcuptide_gate_requests_waiting") { gate.queued }
        metrics.registerGauge("kingcuptide_gate_floor_start_share") { gate.floorStartShare }
        metrics.registerGauge("kingcuptide_target_rate_per_second") { gate.ratePerSecond ?: -1 }
        metrics.registerGauge("kingcuptide_configuration_version") { published.routing?.number ?: 0L }
        metrics.registerGauge("kingcuptide_knowledge_age_ms") { stateAgeMs() }
        metrics.registerGauge("kingcuptide_configuration_faults") { published.routing?.faults?.size ?: 0 }
        metrics.registerGauge("kingcuptide_workspaces") { published.routing?.workspaces?.all?.size ?: 0 }
        metrics.registerGauge("kingcuptide_api_keys") { published.routing?.workspaces?.keyCount ?: 0 }
        metrics.registerGauge("kingcuptide_source_era") { stateSync.era }
        metrics.registerGauge("kingcuptide_source_restores") { stateSync.restores }
        metrics.registerGauge("kingcuptide_source_calls_made") { follower.calls }
        metrics.registerGauge("kingcuptide_event_loop_delay_ms") { loopDelay.maxDelay.inWholeMilliseconds }
        metrics.registerCounter("kingcuptide_event_loop_delay_sum_ms", emptyMap()) {
            loopDelay.totalDelay.inWholeMilliseconds
        }
        metrics.registerGauge("kingcuptide_log_lines_dropped") { LogQueue.droppedLines.get() }
    }

    /** Binds all ports and starts all tasks; called once, off the event loop. */
    fun start() {
        mesh.listen()
        readiness.listen()
        callers.listen()
        loop.execute {
            follower.start()
            targetMonitor.start()
            loop.scheduleWithFixedDelay(::tick, 0, TICK_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
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

    /** Applies changed settings, except addresses, which need a restart. */
    fun reload(changed: ForwarderSettings) = loop.execute {
        if (changed == settings) return@execute
        log.info("settings_changed", "service" to changed.service, "service_before" to settings.service)
        val previous = settings
        settings = changed
        val needsRestart = changed.addresses() != previous.addresses()
        if (needsRestart) log.warn("settings_need_restart", "reason" to "an address changed")
        updateGate()
    }

    /** Drains and stops; [onStopped] is called when all requests have their response or the stop limit has passed. */
    fun stop(onStopped: () -> Unit) {
        val noticedAt = clock.now()
        loop.execute { beginStop(noticedAt, onStopped) }
    }

    private fun beginStop(noticedAt: Duration, onStopped: () -> Unit) {
        val earliestRequestAt = holdUps.earliestTimeOf(noticedAt)
        if (!stop.begin(settings.stopLimit, noticedAt, earliestRequestAt)) {
            log.info("stop_requested_again", "in_flight" to callers.inFlight, "at_target" to gate.inFlight)
            return
        }
        val maxStopMs = (stop.timeLeft + STOP_CHECK_INTERVAL + CLOSE_TIME).inWholeMilliseconds
        loop.schedule(onStopped, maxStopMs, TimeUnit.MILLISECONDS)
        log.info(
            "stop_begun",
            "in_flight" to callers.inFlight,
            "at_target" to gate.inFlight,
            "seen_after_ms" to (clock.now() - earliestRequestAt).inWholeMilliseconds,
            "time_left_ms" to stop.timeLeft.inWholeMilliseconds,
        )
        callers.closeAfterResponses()
        updateGate()
        readerRole.resign()
        roleMonitor.tick()
        mesh.pingNow()
        loop.schedule(::closeGate, PlannedStop.TARGET_USE_AFTER_STOP.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        scope.launch { awaitIdle(onStopped) }
    }

    /** Hands queued requests back to their entries, which send no more. */
    private fun closeGate() {
        updateGate()
        gate.serve()
        mesh.pingNow()
    }

    private suspend fun awaitIdle(onStopped: () -> Unit) {
        while (!stop.isOver(isIdle())) {
            delay(STOP_CHECK_INTERVAL.inWholeMilliseconds)
        }
        log.info("stop_ended", "in_flight" to callers.inFlight, "at_target" to gate.inFlight)
        loop.schedule(onStopped, CLOSE_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        callers.close()
        mesh.close()
    }

    private fun isIdle(): Boolean =
        starts.isEmpty && callers.isIdle && gate.inFlight + gate.queued == 0 && mesh.pendingBytes == 0L

    /** One timer for all that is due at any time, since each wake-up of the event loop costs processor time. */
    private fun tick() {
        runOrLog(loopDelay::taskStarted)
        holdUps.tick()
        serveWaiting()
        runOrLog(::tickAll)
        frequentTask.startIfNeeded()
    }

    private fun requestsInHand(): Array<Pair<String, Any?>> =
        arrayOf("in_flight" to callers.inFlight, "at_target" to gate.inFlight, "queued" to gate.queued)

    private fun serveWaiting() {
        runOrLog(gate::serve)
        runOrLog(quota::tick)
    }

    private inline fun runOrLog(action: () -> Unit) {
        runCatching(action).onFailure { log.error("task_failed", it) }
    }

    private fun tickAll() {
        mesh.tick()
        callers.tick()
        readiness.tick()
        published.tick()
        stateSync.tick()
        suspects.tick()
        counts.tick()
        roleMonitor.tick()
        updateGate()
        reportCrashes()
        reportSurvivedRuns()
        if (targetUse.hasBegun()) mesh.pingNow { it.lastPing.let { ping -> ping == null || ping.contactAgeMs < 0 } }
    }

    private fun updateGate() {
        val stateBefore = gate.state
        val target = currentTarget()?.let(published::target)
        val traits = ownTraits()
        if (traits != null) {
            val perSecond = traits.coldPerSecond * settings.coldRateFactor + settings.coldSlack * COLD_SLACK_SHARE
            gate.coldRequestsPerSecond = perSecond.toInt().coerceAtLeast(1)
        }
        if (target != null) gate.slots = target.entry.slots
        gate.leavingInstance = currentTarget()?.let(targetLeaving::leavingInstanceOf)
        gate.state = when {
            !stop.servesTarget || currentTarget()?.let(targetLeaving::isLeaving) == true -> TargetState.LEAVING
            settings.failureDomain in published.takenOut -> TargetState.TAKEN_OUT
            targetMonitor.isDown -> TargetState.DOWN
            else -> TargetState.OPEN
        }
        if (stateBefore == TargetState.TAKEN_OUT && gate.state == TargetState.OPEN) {
            targetMonitor.suspect("failure domain restored")
        }
    }

    /** The target beside this daemon says that it leaves: requests that wait for it go back to their entries. */
    private fun targetLeaves(instance: TargetInstance) {
        if (!leaving.record(instance)) return
        log.info(
            "target_said_leaving",
            "target" to instance.id,
            "started_at" to instance.startedAtUnixMs,
            "queued" to gate.queued,
        )
        updateGate()
        starts.addFirst(gate::serve)
        mesh.pingNow()
    }

    /** The target that responds at the address, or else the newest that is published for it. */
    private fun currentTarget(): TargetId? =
        targetMonitor.targetId ?: published.targetAt(settings.targetAddress)?.entry?.id

    private fun ownTraits(): ServiceTraits? = published.routing?.services?.get(settings.service)

    private fun targetChanged(failure: TargetFailure?) {
        updateGate()
        reportCrashes()
        failure?.let(gateService::targetFailed)
        if (!targetMonitor.isDown) targetMonitor.targetId?.let(suspects::targetResponds)
        starts.addFirst(gate::serve)
    }

    private fun reportCrashes() = gateService.drainCrashCandidates(::hasEnded).forEach(::reportCrash)

    private fun hasEnded(target: TargetId): Boolean =
        targetMonitor.isDown || targetMonitor.targetId.let { it != null && it != target }

    /** A target that leaves may end its connections, which is no crash. */
    private fun reportCrash(target: TargetId, inFlight: List<CrashCandidate>) {
        if (targetLeaving.isLeaving(target)) return
        log.info("target_died", "target" to target, "in_flight" to inFlight.size)
        sendToAll(suspects.targetCrashed(target, inFlight, gateService.survivedRuns()))
    }

    /** Tells all daemons of requests that the target beside this one has survived since a crash. */
    private fun reportSurvivedRuns() {
        val records = suspects.survived(gateService::survivedRuns)
        if (records.isEmpty()) return
        log.info("crash_suspects_cleared", "requests" to records.size)
        sendToAll(records)
    }

    private fun sendToAll(records: List<CrashRecord>) {
        if (records.isEmpty()) return
        val message = suspectsOf(records)
        mesh.distinctPeers().forEach { it.send(message) }
    }

    private fun suspectsOf(records: List<CrashRecord>) =
        PeerMessage.Suspects(records.mapNotNull(CrashSuspects::toEarlier), records)

    private fun publishedStateChanged() {
        val nearestFirst = published.targets.sortedBy { location.distanceTo(it.entry.failureDomain) }
        mesh.retain(nearestFirst.mapTo(LinkedHashSet()) { it.entry.ip })
        quota.stateChanged()
        picker.retain(published.targets.mapTo(HashSet()) { it.entry.id })
        leaving.stateChanged(published.targets.map { it.entry.instance })
        updateGate()
        starts.addFirst(gate::serve)
    }

    /** Refuses requests that arrive too late in a stop to complete, so that their callers can retry elsewhere. */
    private suspend fun serveCaller(request: CallerRequest): BufferedResponse {
        return if (stop.isTooLate(request.receivedAt)) entry.refuseAtStop(request) else entry.serve(request)
    }

    private fun refuseByKey(request: CallerRequest): BufferedResponse? =
        if (stop.isTooLate(request.receivedAt)) null else entry.refuseByKey(request)

    private fun callerLimits(): CallerLimits = published.routing?.callerLimits ?: DEFAULT_CALLER_LIMITS

    private fun distanceTo(peer: StatePeer): Distance =
        peer.failureDomain?.let(location::distanceTo) ?: Distance.OTHER_REGION

    private fun regionOf(peer: StatePeer): RegionId? = peer.failureDomain?.let { settings.regionByDomain[it] }

    private fun hello() =
        PeerMessage.Hello(
            PeerCodec.PROTOCOL_VERSION,
            settings.host.value,
            settings.failureDomain.value,
            incarnation,
            settings.cpuShare,
            settings.ip,
        )

    private fun ownQuotaPeer() = QuotaPeer(settings.failureDomain, settings.cpuShare, incarnation)

    /** Age of the published state, or -1 while there is none. */
    private fun stateAgeMs(): Long = published.age().let { if (it.isFinite()) it.inWholeMilliseconds else -1 }

    private fun ping(): PeerMessage.Ping {
        return PeerMessage.Ping(
            stateSync.asOf(),
            stateAgeMs(),
            roleMonitor.ownRank,
            !stop.servesTarget,
            gate.loadReport().copy(demand = picker.ownDemand()).toMessage(),
            published.digest(),
            roleMonitor.ownState.ordinal,
            targetUse.inUse()?.value,
        )
    }

    private inner class PeerEvents : PeerListener {
        override fun opened(session: PeerSession) {
            log.info("peer_opened", "peer" to session.peer?.host, "own" to session.isOutbound)
            if (session.isOutbound) session.send(ping())
            sendSuspects(session)
        }

        override fun received(session: PeerSession, frame: PeerFrame) {
            if (session.peer?.host.let { it != null && it != settings.host.value }) lastPeerMessageAt = clock.now()
            when (val message = frame.message) {
                is PeerMessage.Ping -> pinged(session, message)
                is PeerMessage.SectionSnapshot -> stateSync.received(session, message)
                is PeerMessage.ItemUpdates -> stateSync.received(session, message)
                is PeerMessage.SectionRequest -> stateSync.sectionsRequested(session, message)
                is PeerMessage.Suspects ->
                    if (message.crashRecords.isEmpty()) {
                        suspects.mergeEarlier(message.records)
                    } else {
                        suspects.merge(message.crashRecords)
                    }
                is PeerMessage.Forward, is PeerMessage.Cancel -> gateEndpoint.received(session, frame)
                is PeerMessage.Response, is PeerMessage.Refusal, is PeerMessage.OutcomeUnknown,
                is PeerMessage.TargetSilent,
                -> gateTransport.received(session, frame)
                is PeerMessage.QuotaAsk, is PeerMessage.QuotaGrant -> quota.received(session, message)
                is PeerMessage.Hello -> Unit
            }
        }

        override fun closed(session: PeerSession, reason: String) {
            val host = session.peer?.host
            if (host != null) log.info("peer_closed", "peer" to host, "own" to session.isOutbound, "reason" to reason)
            gateEndpoint.closed(session)
            gateTransport.closed(session)
        }

        override fun failed(session: PeerSession, cause: Throwable) {
            log.info("peer_failed", "peer" to session.peer?.host, "reason" to cause)
        }

        override fun silent(session: PeerSession) = gateTransport.silent(session)

        override fun isInUse(session: PeerSession): Boolean =
            gateTransport.isInUse(session) || gateEndpoint.isInUse(session)

        /** A peer that has just started, or was not connected when a target crashed, has missed the records. */
        private fun sendSuspects(session: PeerSession) {
            val records = suspects.records()
            if (records.isNotEmpty()) session.send(suspectsOf(records))
        }

        private fun pinged(session: PeerSession, ping: PeerMessage.Ping) {
            stateSync.pinged(session, ping)
            val host = session.peer?.host ?: return
            val ip = mesh.ipOf(session)
            if (ip == null || host == settings.host.value) return
            for (target in published.targets.filter { it.entry.ip == ip }) {
                val report = ping.loadReport.toGateLoadReport(picker.runTimesOf(target.entry.id))
                entryDependencies.recordLoadReport(target.entry, report)
            }
        }
    }

    private inner class MeshPeerGroup : PeerGroup {
        override fun sessions(): Collection<StatePeer> = mesh.distinctPeers()

        override fun regionOf(peer: StatePeer): RegionId? = this@Forwarder.regionOf(peer)

        override val ownRegion: RegionId get() = settings.region
    }

    private companion object {
        /** Limits until the first configuration is known; most servers allow as much. */
        val DEFAULT_CALLER_LIMITS = CallerLimits(16_384, 1_048_576, 3.seconds, 15.seconds)

        /** Share of the allowed slack that is used; the rest is for requests in transit. */
        const val COLD_SLACK_SHARE = 0.6

        val TICK_INTERVAL = minOf(PeerMesh.MAX_TICK_INTERVAL, QuotaAccount.IDLE_TICK_INTERVAL)

        /** Interval of what is due only while requests wait. */
        val FREQUENT_INTERVAL = minOf(TargetGate.MAX_SERVE_INTERVAL, QuotaAccount.TICK_INTERVAL)

        val STOP_CHECK_INTERVAL = 50.milliseconds

        /** Time for the last connections to be closed and their last responses to leave the socket buffers. */
        val CLOSE_TIME = CallerServer.CLOSE_TIME + 100.milliseconds
        val log = eventLog("daemon")

        /** A failed task is a bug in this program: it is logged and ends alone. */
        val faultHandler = CoroutineExceptionHandler { _, cause -> log.error("task_failed", cause) }

        fun addressOf(address: String): InetSocketAddress =
            InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
    }
}
