package kingcuptide.bench.membership

import com.github.michaelbull.result.onSuccess
import kingcuptide.coordination.connection.ControlEnvelope
import kingcuptide.coordination.connection.ControlMessage
import kingcuptide.coordination.connection.ConvergenceMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.version.ConvergenceCollector
import kingcuptide.coordination.version.ConvergenceSettings
import kingcuptide.coordination.version.ConvergenceSummary
import kingcuptide.coordination.version.LocalVersion
import kingcuptide.coordination.version.convergenceCollector
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One daemon of a [StatusFleet] and the liveness of other hosts that it knows. */
class StatusNode(
    override val self: HostEntry,
    override var hostList: HostList,
) : FleetView {
    /** Liveness of other hosts that this daemon knows; a missing host is alive. */
    val knownLiveness = HashMap<HostId, Liveness>()

    var version = LocalVersion(1)

    /** Whether the process runs; if not, messages to it are lost. */
    var running = true

    lateinit var collector: ConvergenceCollector

    private var indexed: HostList? = null
    private var index: Map<HostId, HostEntry> = emptyMap()

    override fun entry(host: HostId): HostEntry? {
        if (indexed !== hostList) {
            index = hostList.hosts.associateBy { it.host }
            indexed = hostList
        }
        return index[host]
    }

    override fun liveness(host: HostId): Liveness = knownLiveness[host] ?: Liveness.ALIVE

    override fun incarnation(host: HostId): Incarnation = Incarnation(1)
}

/** Daemons that run only a convergence collector, in one process on a virtual clock. */
class StatusFleet(
    shape: FleetShape,
    seed: Long,
    settings: ConvergenceSettings = ConvergenceSettings(),
    private val tickInterval: Duration = 100.milliseconds,
) {
    private val random = Random(seed)
    private val hostList = HostList(1, shape.entries())
    val time = VirtualTime()
    val network = Network(random)
    val nodes: List<StatusNode> = hostList.hosts.map { StatusNode(it, hostList) }
    private val nodesByHost = nodes.associateBy { it.self.host }

    /** Called before a message is delivered; a fault may be injected here. */
    var beforeDelivery: (StatusNode, ConvergenceMessage) -> Unit = { _, _ -> }

    var messages = 0L
        private set
    var bytes = 0L
        private set
    var crossRegionBytes = 0L
        private set
    var greatestMessageBytes = 0
        private set

    init {
        for (node in nodes) {
            node.collector =
                convergenceCollector(settings, node, { node.version }, time, Random(random.nextLong()))
            time.schedule(tickInterval * random.nextDouble()) { tick(node) }
        }
    }

    /** Starts a query at [node]; the summary is given to [onDone]. */
    fun query(node: StatusNode, onDone: (ConvergenceSummary) -> Unit) {
        node.collector.startQuery(onDone).onSuccess { send(node, it) }
    }

    /** Starts a query at [node] and runs the fleet for [limit]; returns the summaries received. */
    fun queryAndRun(node: StatusNode, limit: Duration): List<ConvergenceSummary> {
        val summaries = mutableListOf<ConvergenceSummary>()
        query(node) { summaries += it }
        time.run(limit)
        return summaries
    }

    /** Delivers [message] to [to] at once and sends its replies. */
    fun inject(from: HostId, to: StatusNode, message: ConvergenceMessage) {
        send(to, to.collector.receive(from, message))
    }

    private fun tick(node: StatusNode) {
        if (node.running) send(node, node.collector.tick())
        time.schedule(tickInterval) { tick(node) }
    }

    private fun send(from: StatusNode, outbound: List<Outbound>) {
        for ((host, message) in outbound) {
            val to = nodesByHost[host] ?: continue
            countMessage(from, to, message)
            for (delay in network.delays(from.self, to.self)) {
                time.schedule(delay) { arrive(from.self.host, to, message as ConvergenceMessage) }
            }
        }
    }

    private fun arrive(from: HostId, to: StatusNode, message: ConvergenceMessage) {
        beforeDelivery(to, message)
        if (to.running) inject(from, to, message)
    }

    private fun countMessage(from: StatusNode, to: StatusNode, message: ControlMessage) {
        val size = Cbor.encodeToByteArray(ControlEnvelope(from.self.host, message)).size
        greatestMessageBytes = maxOf(greatestMessageBytes, size)
        messages++
        bytes += size + DATAGRAM_HEADER_BYTES
        if (from.self.region != to.self.region) crossRegionBytes += size + DATAGRAM_HEADER_BYTES
    }

    private companion object {
        const val DATAGRAM_HEADER_BYTES = 28
    }
}
