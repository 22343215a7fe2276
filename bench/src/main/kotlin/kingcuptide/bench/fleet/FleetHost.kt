package kingcuptide.bench.fleet

import kingcuptide.coordination.connection.ControlMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.SourceEffect
import kingcuptide.coordination.version.SourceOutcome
import kingcuptide.coordination.version.VersionCounters
import kotlin.time.Duration

/** Daemon that runs on a simulated host: the distribution logic under test, or the baseline. */
interface FleetDaemon {
    /** Number of the document in force, or null if there is none. */
    val number: Long?

    /** Whether the daemon may accept requests. */
    val canAcceptWork: Boolean

    /** Event counters, or null if the daemon has none. */
    val counters: VersionCounters?

    /** Handles a message from a peer and returns the messages to send. */
    fun receive(from: HostId, message: ControlMessage): List<Outbound>

    /** Handles the outcome of a platform call and returns the messages to send. */
    fun sourceOutcome(call: Long, kind: ResourceKind, outcome: SourceOutcome): List<Outbound>

    /** Performs the actions that are due and returns the messages to send. */
    fun tick(): List<Outbound>

    /** Returns the platform calls to make, and removes them. */
    fun takeSourceEffects(): List<SourceEffect>
}

/** State of one simulated host, whose daemon may be killed, restarted, frozen and resumed. */
class FleetHost(
    val entry: HostEntry,
) {
    /** The daemon, or null while the host is down. */
    var daemon: FleetDaemon? = null

    /** Number of the daemon's process; events addressed to an earlier process are dropped. */
    var run: Int = 0

    /** Time at which the daemon was killed or frozen, or null while it runs. */
    var downSince: Duration? = null

    /** Whether the daemon's process is paused. */
    var isFrozen: Boolean = false

    /** Events that arrived while the daemon was frozen. */
    val backlog: ArrayDeque<(FleetDaemon) -> List<Outbound>> = ArrayDeque()

    /** The greatest document number served by any process on this host. */
    var greatestServed: Long? = null

    /** Number of times a process served a document number below [greatestServed]. */
    var olderServedCount: Int = 0

    /** Bytes of messages from peers that arrived at this host, also while it was down. */
    var receivedBytes: Long = 0

    /** Bytes received from the platform. */
    var sourceBytes: Long = 0

    /** Time at which each document first came into force on this host, by document number. */
    val inForceAt: MutableMap<Long, Duration> = HashMap()
}
