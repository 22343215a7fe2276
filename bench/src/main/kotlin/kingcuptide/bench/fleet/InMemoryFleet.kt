package kingcuptide.bench.fleet

import kingcuptide.coordination.connection.ControlMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.version.SourceEffect
import kingcuptide.coordination.version.SourceOutcome
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import java.util.IdentityHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Bytes sent over all links within and between regions. */
data class LinkBytes(
    var sameRegion: Long = 0,
    var crossRegion: Long = 0,
)

/** Creates the daemon of a host at each start. */
typealias DaemonFactory = (fleet: InMemoryFleet, host: FleetHost, random: Random) -> FleetDaemon

/**
 * Simulation of a fleet in one process, with a fake transport and a fake platform on a virtual clock.
 *
 * Equal seeds give equal sequences of events. Not thread-safe.
 */
class InMemoryFleet(
    shape: FleetShape,
    seed: Int,
    private val daemonFactory: DaemonFactory,
) {
    val clock: VirtualClock = VirtualClock()
    val events: EventQueue = EventQueue(clock)
    val platform: FakePlatform = FakePlatform(clock, events)
    val shared: SharedContents = SharedContents()
    val bytes: LinkBytes = LinkBytes()
    private val random = Random(seed)
    val links: Links = Links(clock, Random(random.nextInt()))
    val hosts: List<FleetHost> = shape.hosts().map { FleetHost(it) }
    private val hostsById = hosts.associateBy { it.entry.host }
    private val cbor = Cbor { }
    private val hostIndexes = IdentityHashMap<HostList, Map<HostId, HostEntry>>()
    private var lastSizedMessage: ControlMessage? = null
    private var lastSizedBytes = 0

    /** Called with the host and the document number when a document comes into force. */
    var onInForce: (FleetHost, Long) -> Unit = { _, _ -> }

    /** Called with each message that reaches the process it was sent to, before the daemon handles it. */
    var onDelivered: (from: FleetHost, to: FleetHost, message: ControlMessage) -> Unit = { _, _, _ -> }

    /** Returns whether a message is dropped at its sender. */
    var dropsMessage: (from: FleetHost, message: ControlMessage) -> Boolean = { _, _ -> false }

    /** Starts the daemons of [hostsToStart]. */
    fun start(hostsToStart: Collection<FleetHost> = hosts) = hostsToStart.forEach(::start)

    /** Starts the daemon of [host] without any state from earlier processes. */
    fun start(host: FleetHost) {
        host.run++
        host.downSince = null
        host.isFrozen = false
        host.backlog.clear()
        host.daemon = daemonFactory(this, host, Random(random.nextInt()))
        scheduleTick(host, host.run, TICK_INTERVAL * random.nextDouble())
    }

    /** Kills the daemon of [host]. */
    fun kill(host: FleetHost) {
        host.daemon = null
        host.run++
        host.downSince = clock.now()
    }

    /** Pauses the process of [host]; events that arrive meanwhile are queued. */
    fun freeze(host: FleetHost) {
        host.isFrozen = true
        host.downSince = clock.now()
    }

    /** Resumes a frozen daemon, which first handles the queued events. */
    fun resume(host: FleetHost) {
        host.isFrozen = false
        host.downSince = null
        while (host.backlog.isNotEmpty()) execute(host, host.backlog.removeFirst())
    }

    /** Returns the host [id], or null if the fleet has no such host. */
    fun find(id: HostId): FleetHost? = hostsById[id]

    /** Returns the entries of [list] by host; daemons that share the list share the map. */
    fun entriesByHost(list: HostList): Map<HostId, HostEntry> {
        if (hostIndexes.size > MAX_HOST_INDEXES) hostIndexes.clear()
        return hostIndexes.getOrPut(list) { list.hosts.associateBy { it.host } }
    }

    /** Runs the events of the next [duration] of virtual time. */
    fun run(duration: Duration) = events.runUntil(clock.now() + duration)

    /** Runs until [condition] holds; returns the virtual time that it took, or null if it took longer than [limit]. */
    fun runUntil(limit: Duration, condition: () -> Boolean): Duration? {
        val start = clock.now()
        while (clock.now() - start <= limit) {
            if (condition()) return clock.now() - start
            run(CONDITION_CHECK_INTERVAL)
        }
        return null
    }

    private fun scheduleTick(host: FleetHost, run: Int, delay: Duration) {
        events.after(delay) {
            if (host.run != run) return@after
            if (!host.isFrozen) execute(host) { it.tick() }
            scheduleTick(host, run, TICK_INTERVAL)
        }
    }

    private fun deliver(host: FleetHost, run: Int, action: (FleetDaemon) -> List<Outbound>) {
        if (host.daemon == null || host.run != run) return
        if (!host.isFrozen) return execute(host, action)
        if (host.backlog.size < MAX_BACKLOG_EVENTS) host.backlog.addLast(action)
    }

    private fun execute(host: FleetHost, action: (FleetDaemon) -> List<Outbound>) {
        val daemon = host.daemon ?: return
        val before = daemon.number
        send(host, action(daemon))
        daemon.takeSourceEffects().forEach { callPlatform(host, it) }
        val number = daemon.number ?: return
        if (number != before) recordInForce(host, number)
        if (daemon.canAcceptWork) recordServed(host, number)
    }

    private fun recordInForce(host: FleetHost, number: Long) {
        host.inForceAt.putIfAbsent(number, clock.now())
        onInForce(host, number)
    }

    private fun recordServed(host: FleetHost, number: Long) {
        val greatest = host.greatestServed
        if (greatest != null && number < greatest) host.olderServedCount++
        host.greatestServed = maxOf(greatest ?: number, number)
    }

    private fun send(from: FleetHost, messages: List<Outbound>) {
        for ((to, message) in messages) {
            val receiver = hostsById[to] ?: continue
            if (dropsMessage(from, message)) continue
            val size = sizeOf(message)
            val delays = links.delays(from.entry, receiver.entry, size)
            if (from.entry.region == receiver.entry.region) bytes.sameRegion += size else bytes.crossRegion += size
            val run = receiver.run
            delays.forEach { delay ->
                events.after(delay) {
                    receiver.receivedBytes += size
                    if (receiver.run == run) onDelivered(from, receiver, message)
                    deliver(receiver, run) { it.receive(from.entry.host, message) }
                }
            }
        }
    }

    private fun sizeOf(message: ControlMessage): Int {
        if (message === lastSizedMessage) return lastSizedBytes
        lastSizedMessage = message
        val size = cbor.encodeToByteArray<ControlMessage>(message).size
        lastSizedBytes = size + PACKET_OVERHEAD_BYTES * (1 + size / PACKET_PAYLOAD_BYTES)
        return lastSizedBytes
    }

    private fun callPlatform(host: FleetHost, effect: SourceEffect) {
        val run = host.run
        val isCut = { links.cutSince(host.entry, PLATFORM) != null || links.cutSince(PLATFORM, host.entry) != null }
        if (isCut()) return
        events.after(platformLatency(host)) {
            platform.call(effect) { outcome ->
                if (isCut()) return@call
                val size = sourceBytes(host, outcome)
                val transfer = links.delays(PLATFORM, host.entry, size).firstOrNull() ?: platformLatency(host)
                events.after(transfer) { deliver(host, run) { it.sourceOutcome(effect.call, effect.kind, outcome) } }
            }
        }
    }

    private fun platformLatency(host: FleetHost): Duration =
        if (host.entry.region == PLATFORM_REGION) SAME_REGION_LATENCY else CROSS_REGION_LATENCY

    private fun sourceBytes(host: FleetHost, outcome: SourceOutcome): Int {
        val size = CALL_BYTES + ((outcome as? SourceOutcome.Changed)?.content?.let { platform.sizeOf(it) } ?: 0)
        host.sourceBytes += size
        if (host.entry.region != PLATFORM_REGION) bytes.crossRegion += size
        return size
    }

    companion object {
        /** Entry that stands for the platform in links and cuts. */
        val PLATFORM: HostEntry =
            FleetShape(
                listOf(1),
                1,
            ).hosts().first().copy(host = HostId("platform"), failureDomain = FailureDomainId("platform"))
        private val TICK_INTERVAL = 100.milliseconds
        private val CONDITION_CHECK_INTERVAL = 10.milliseconds
        private val SAME_REGION_LATENCY = 1.milliseconds
        private val CROSS_REGION_LATENCY = 10.milliseconds
        private const val MAX_HOST_INDEXES = 16
        private const val MAX_BACKLOG_EVENTS = 2_000
        private const val PACKET_OVERHEAD_BYTES = 28
        private const val PACKET_PAYLOAD_BYTES = 1_400
        private const val CALL_BYTES = 300
    }
}
