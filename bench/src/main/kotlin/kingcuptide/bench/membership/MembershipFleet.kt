package kingcuptide.bench.membership

import kingcuptide.coordination.connection.ControlEnvelope
import kingcuptide.coordination.connection.MembershipMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.process.MembershipSettings
import kingcuptide.coordination.process.membership
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Daemons that consist of a membership only, in one process on a virtual clock.
 *
 * The same seed gives the same run.
 */
class MembershipFleet(
    shape: FleetShape,
    seed: Long,
    private val settings: MembershipSettings = MembershipSettings(),
    private val tickInterval: Duration = 100.milliseconds,
    private val countBytes: Boolean = false,
) {
    private val random = Random(seed)
    private val list = HostList(FIRST_REVISION, shape.entries())

    val clock = VirtualTime()
    val network = Network(random)
    val nodes: List<FleetNode> = list.hosts.map { FleetNode(it, startMembership(it, Incarnation(FIRST_INCARNATION))) }
    private val byHost = nodes.associateBy { it.host }

    /** Greatest encoded size of a message, if bytes are counted. */
    var greatestMessageBytes = 0
        private set

    /** Wall-clock time that all ticks and receipts took. */
    var decisionTime = Duration.ZERO
        private set

    var ticks = 0L
        private set

    init {
        nodes.forEach { scheduleTicks(it) }
    }

    fun node(number: Int): FleetNode = nodes[number]

    fun node(host: HostId): FleetNode = byHost.getValue(host)

    /** Runs the fleet for [duration]. */
    fun run(duration: Duration) {
        clock.run(duration)
    }

    /** Runs until [condition] holds, looked at every [tickInterval], and returns how long it took, or null at [limit]. */
    fun await(limit: Duration, condition: () -> Boolean): Duration? {
        val start = clock.now()
        while (clock.now() - start < limit) {
            if (condition()) return clock.now() - start
            run(AWAIT_STEP)
        }
        return if (condition()) clock.now() - start else null
    }

    /** Ends the process of [node] without a word. */
    fun kill(node: FleetNode) {
        node.running = false
        node.frozen = false
        node.buffer.clear()
    }

    /** Starts a new process on the host of [node], whose wall clock gives [incarnation]. */
    fun restart(node: FleetNode, incarnation: Long) {
        node.process++
        node.running = true
        node.frozen = false
        node.buffer.clear()
        node.membership = startMembership(node.entry, Incarnation(incarnation))
        scheduleTicks(node)
    }

    fun freeze(node: FleetNode) {
        node.frozen = true
    }

    /** Lets the process of [node] run on; it finds what arrived in the meantime. */
    fun wake(node: FleetNode) {
        node.frozen = false
        val tickFirst = random.nextBoolean()
        if (tickFirst) tick(node)
        while (node.buffer.isNotEmpty()) {
            val buffered = node.buffer.removeFirst()
            deliver(node, buffered.from, buffered.message)
        }
    }

    /** Announces that [node] stops. */
    fun leave(node: FleetNode) {
        send(node, node.membership.leave())
    }

    /** Delivers [message] now, as if it had been on its way for long. */
    fun inject(from: HostId, to: FleetNode, message: MembershipMessage) {
        deliver(to, from, message)
    }

    /** Counts the pairs of a live observer and another host of [hosts] for which [predicate] holds. */
    fun countViews(hosts: List<FleetNode>, predicate: (Liveness) -> Boolean): Int =
        nodes.filter { it.live }.sumOf { observer ->
            hosts.count { it !== observer && predicate(observer.membership.liveness(it.host)) }
        }

    private fun startMembership(entry: HostEntry, incarnation: Incarnation) =
        membership(settings, entry, incarnation, clock, Random(random.nextLong()))
            .also { it.updateHostList(list) }

    private fun scheduleTicks(node: FleetNode) {
        val process = node.process
        clock.schedule(tickInterval * random.nextDouble()) { tickAndRepeat(node, process) }
    }

    private fun tickAndRepeat(node: FleetNode, process: Int) {
        if (node.process != process || !node.running) return
        if (!node.frozen) tick(node)
        clock.schedule(tickInterval) { tickAndRepeat(node, process) }
    }

    private fun tick(node: FleetNode) {
        ticks++
        send(node, timed { node.membership.tick() })
    }

    private fun send(from: FleetNode, messages: List<Outbound>) {
        for (outbound in messages) {
            val to = byHost[outbound.to] ?: continue
            val message = outbound.message as MembershipMessage
            val bytes = if (countBytes) encodedBytes(from.host, message) else 0
            for (delay in network.delays(from.entry, to.entry)) {
                clock.schedule(delay) { arrive(from, to, message, bytes) }
            }
        }
    }

    private fun arrive(from: FleetNode, to: FleetNode, message: MembershipMessage, bytes: Int) {
        if (!to.running) return
        to.receivedBytes += bytes
        to.receivedMessages++
        if (from.entry.region != to.entry.region) to.crossRegionBytes += bytes
        if (!to.frozen) return deliver(to, from.host, message)
        if (to.buffer.size < SOCKET_BUFFER_MESSAGES) to.buffer += BufferedMessage(from.host, message)
    }

    private fun deliver(to: FleetNode, from: HostId, message: MembershipMessage) {
        send(to, timed { to.membership.receive(from, message) })
    }

    private fun <T> timed(action: () -> T): T {
        val start = System.nanoTime()
        val result = action()
        decisionTime += (System.nanoTime() - start).nanoseconds
        return result
    }

    private fun encodedBytes(from: HostId, message: MembershipMessage): Int {
        val bytes = Cbor.encodeToByteArray(ControlEnvelope(from, message)).size
        greatestMessageBytes = maxOf(greatestMessageBytes, bytes)
        return bytes + DATAGRAM_HEADER_BYTES
    }

    companion object {
        /** Incarnation of every process at the start of a run. */
        const val FIRST_INCARNATION = 1_700_000_000_000L

        private const val FIRST_REVISION = 1L
        private const val SOCKET_BUFFER_MESSAGES = 200
        private const val DATAGRAM_HEADER_BYTES = 28
        private val AWAIT_STEP = 100.milliseconds
    }
}
