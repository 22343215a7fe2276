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

/** Bytes that crossed the links, by class of link. */
data class LinkBytes(
    var sameRegion: Long = 0,
    var crossRegion: Long = 0,
)

/** Makes the daemon of a host for one of its runs. */
typealias DaemonFactory = (fleet: InMemoryFleet, host: FleetHost, random: Random) -> FleetDaemon

/**
 * A fleet in one process: a fake transport and a fake platform under a virtual clock.
 *
 * Runs of one [seed] are equal event for event. Not thread-safe.
 */
class InMemoryFleet(
    shape: FleetShape,
    seed: Int,
    private val newDaemon: DaemonFactory,
) {
    val clock: VirtualClock = VirtualClock()
    val events: EventQueue = EventQueue(clock)
    val platform: FakePlatform = FakePlatform(clock, events)
    val shared: SharedContents = SharedContents()
    val bytes: LinkBytes = LinkBytes()
    private val random = Random(seed)
    val links: Links = Links(clock, Random(random.nextInt()))
    val hosts: List<FleetHost> = shape.hosts().map { FleetHost(it) }
    private val byId = hosts.associateBy { it.entry.host }
    private val cbor = Cbor { }
    private val indexes = IdentityHashMap<HostList, Map<HostId, HostEntry>>()
    private var measuredMessage: ControlMessage? = null
    private var measuredBytes = 0

    /** Called at each document that goes in force. */
    var onInForce: (FleetHost, Long) -> Unit = { _, _ -> }

    /** Called with each message that reaches a running daemon, before the daemon handles it. */
    var onDelivered: (from: FleetHost, to: FleetHost, message: ControlMessage) -> Unit = { _, _, _ -> }

    /** Whether a message is lost on its way out of the host that sends it. */
    var losesMessage: (from: FleetHost, message: ControlMessage) -> Boolean = { _, _ -> false }

    /** Starts the daemons of [started]. */
    fun start(started: Collection<FleetHost> = hosts) = started.forEach(::start)

    /** Starts the daemon of [host], which remembers nothing. */
    fun start(host: FleetHost) {
        host.run++
        host.downSince = null
        host.isFrozen = false
        host.backlog.clear()
        host.daemon = newDaemon(this, host, Random(random.nextInt()))
        scheduleTick(host, host.run, TICK * random.nextDouble())
    }

    /** Kills the daemon of [host]. */
    fun kill(host: FleetHost) {
        host.daemon = null
        host.run++
        host.downSince = clock.now()
    }

    /** Stops the daemon of [host] in its tracks. */
    fun freeze(host: FleetHost) {
        host.isFrozen = true
        host.downSince = clock.now()
    }

    /** Lets a frozen daemon go on with what has arrived in between. */
    fun wake(host: FleetHost) {
        host.isFrozen = false
        host.downSince = null
        while (host.backlog.isNotEmpty()) step(host, host.backlog.removeFirst())
    }

    /** Returns the host [id], or null if the fleet has no such host. */
    fun find(id: HostId): FleetHost? = byId[id]

    /** Returns the hosts of [list] by name; equal for all daemons that share the list. */
    fun indexOf(list: HostList): Map<HostId, HostEntry> {
        if (indexes.size > MAX_INDEXES) indexes.clear()
        return indexes.getOrPut(list) { list.hosts.associateBy { it.host } }
    }

    /** Runs for [duration] of virtual time. */
    fun run(duration: Duration) = events.runUntil(clock.now() + duration)

    /** Runs until [condition] holds, at most for [limit]; returns the time it took, or null. */
    fun runUntil(limit: Duration, condition: () -> Boolean): Duration? {
        val start = clock.now()
        while (clock.now() - start <= limit) {
            if (condition()) return clock.now() - start
            run(STEP)
        }
        return null
    }

    private fun scheduleTick(host: FleetHost, run: Int, delay: Duration) {
        events.after(delay) {
            if (host.run != run) return@after
            if (!host.isFrozen) step(host) { it.tick() }
            scheduleTick(host, run, TICK)
        }
    }

    private fun arrive(host: FleetHost, run: Int, action: (FleetDaemon) -> List<Outbound>) {
        if (host.daemon == null || host.run != run) return
        if (!host.isFrozen) return step(host, action)
        if (host.backlog.size < MAX_BACKLOG) host.backlog.addLast(action)
    }

    private fun step(host: FleetHost, action: (FleetDaemon) -> List<Outbound>) {
        val daemon = host.daemon ?: return
        val before = daemon.number
        send(host, action(daemon))
        daemon.takeSourceEffects().forEach { callPlatform(host, it) }
        val number = daemon.number ?: return
        if (number != before) noteInForce(host, number)
        if (daemon.canAcceptWork) noteServed(host, number)
    }

    private fun noteInForce(host: FleetHost, number: Long) {
        host.inForceAt.putIfAbsent(number, clock.now())
        onInForce(host, number)
    }

    private fun noteServed(host: FleetHost, number: Long) {
        val greatest = host.greatestServed
        if (greatest != null && number < greatest) host.servedOlder++
        host.greatestServed = maxOf(greatest ?: number, number)
    }

    private fun send(from: FleetHost, messages: List<Outbound>) {
        for ((to, message) in messages) {
            val target = byId[to] ?: continue
            if (losesMessage(from, message)) continue
            val size = sizeOf(message)
            val delays = links.delays(from.entry, target.entry, size)
            if (from.entry.region == target.entry.region) bytes.sameRegion += size else bytes.crossRegion += size
            val run = target.run
            delays.forEach { delay ->
                events.after(delay) {
                    target.receivedBytes += size
                    if (target.run == run) onDelivered(from, target, message)
                    arrive(target, run) { it.receive(from.entry.host, message) }
                }
            }
        }
    }

    private fun sizeOf(message: ControlMessage): Int {
        if (message === measuredMessage) return measuredBytes
        measuredMessage = message
        val size = cbor.encodeToByteArray<ControlMessage>(message).size
        measuredBytes = size + PACKET_OVERHEAD_BYTES * (1 + size / PACKET_BYTES)
        return measuredBytes
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
                events.after(transfer) { arrive(host, run) { it.sourceOutcome(effect.call, effect.kind, outcome) } }
            }
        }
    }

    private fun platformLatency(host: FleetHost): Duration = if (host.entry.region == PLATFORM_REGION) NEAR else FAR

    private fun sourceBytes(host: FleetHost, outcome: SourceOutcome): Int {
        val size = CALL_BYTES + ((outcome as? SourceOutcome.Changed)?.content?.let { platform.sizeOf(it) } ?: 0)
        host.sourceBytes += size
        if (host.entry.region != PLATFORM_REGION) bytes.crossRegion += size
        return size
    }

    companion object {
        /** The platform's own place, for cuts between hosts and the platform. */
        val PLATFORM: HostEntry =
            FleetShape(
                listOf(1),
                1,
            ).hosts().first().copy(host = HostId("platform"), failureDomain = FailureDomainId("platform"))
        private val TICK = 100.milliseconds
        private val STEP = 10.milliseconds
        private val NEAR = 1.milliseconds
        private val FAR = 10.milliseconds
        private const val MAX_INDEXES = 16
        private const val MAX_BACKLOG = 2_000
        private const val PACKET_OVERHEAD_BYTES = 28
        private const val PACKET_BYTES = 1_400
        private const val CALL_BYTES = 300
    }
}
