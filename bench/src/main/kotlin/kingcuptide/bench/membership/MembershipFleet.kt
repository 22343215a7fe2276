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
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Daemons that run only membership, in one process on a virtual clock.
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
    private val threads = ManagementFactory.getThreadMXBean()
    private val list = HostList(HOST_LIST_REVISION, shape.entries())

    val clock = VirtualTime()
    val network = Network(random)
    val nodes: List<FleetNode> = list.hosts.map { FleetNode(it, startMembership(it, Incarnation(FIRST_INCARNATION))) }
    private val nodesByHost = nodes.associateBy { it.host }

    /** Greatest encoded size of a message, if bytes are counted. */
    var greatestMessageBytes = 0
        private set

    /** CPU time of all ticks and received messages. */
    var decisionTime = Duration.ZERO
        private set

    var ticks = 0L
        private set

    init {
        nodes.forEach { scheduleTicks(it) }
    }

    fun node(number: Int): FleetNode = nodes[number]

    fun node(host: HostId): FleetNode = nodesByHost.getValue(host)

    /** Runs the fleet for [duration]. */
    fun run(duration: Duration) {
        clock.run(duration)
    }

    /**
     * Runs until [condition] holds, checked every [AWAIT_CHECK_INTERVAL], and returns the time taken; null at [limit].
     */
    fun await(limit: Duration, condition: () -> Boolean): Duration? {
        val start = clock.now()
        while (clock.now() - start < limit) {
            if (condition()) return clock.now() - start
            run(AWAIT_CHECK_INTERVAL)
        }
        return if (condition()) clock.now() - start else null
    }

    /** Kills the process of [node], which sends nothing. */
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

    /** Resumes the process of [node]; it ticks first or later, at random, and receives its buffered messages. */
    fun wake(node: FleetNode) {
        node.frozen = false
        val tickFirst = random.nextBoolean()
        if (tickFirst) tick(node)
        while (node.buffer.isNotEmpty()) {
            val buffered = node.buffer.removeFirst()
            deliver(node, buffered.from, buffered.message)
        }
    }

    /** Makes [node] announce that it leaves. */
    fun leave(node: FleetNode) {
        send(node, node.membership.leave())
    }

    /** Delivers [message] now, as if it had been delayed for long. */
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
        send(node, measureCpuTime { node.membership.tick() })
    }

    private fun send(from: FleetNode, messages: List<Outbound>) {
        for (outbound in messages) {
            val to = nodesByHost[outbound.to] ?: continue
            val message = outbound.message as MembershipMessage
            val bytes = if (countBytes) encodedBytes(from.host, message) else 0
            for (delay in network.delays(from.entry, to.entry)) {
                clock.schedule(delay) { receiveOrBuffer(from, to, message, bytes) }
            }
        }
    }

    private fun receiveOrBuffer(from: FleetNode, to: FleetNode, message: MembershipMessage, bytes: Int) {
        if (!to.running) return
        to.receivedBytes += bytes
        to.receivedMessages++
        if (from.entry.region != to.entry.region) to.crossRegionBytes += bytes
        if (!to.frozen) return deliver(to, from.host, message)
        if (to.buffer.size < SOCKET_BUFFER_MESSAGES) to.buffer += BufferedMessage(from.host, message)
    }

    private fun deliver(to: FleetNode, from: HostId, message: MembershipMessage) {
        send(to, measureCpuTime { to.membership.receive(from, message) })
    }

    private fun <T> measureCpuTime(action: () -> T): T {
        val start = threads.currentThreadCpuTime
        val result = action()
        decisionTime += (threads.currentThreadCpuTime - start).nanoseconds
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

        private const val HOST_LIST_REVISION = 1L
        private const val SOCKET_BUFFER_MESSAGES = 200
        private const val DATAGRAM_HEADER_BYTES = 28
        private val AWAIT_CHECK_INTERVAL = 100.milliseconds
    }
}
