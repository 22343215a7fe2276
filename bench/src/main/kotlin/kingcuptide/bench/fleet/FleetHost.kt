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

/** What runs on a host: the daemon's decisions, or a plain baseline. */
interface FleetDaemon {
    /** Number of the document in force, or null. */
    val number: Long?

    /** Whether requests may be taken. */
    val canAcceptWork: Boolean

    /** Counts of the daemon, if it counts. */
    val counters: VersionCounters?

    /** Handles a message. */
    fun receive(from: HostId, message: ControlMessage): List<Outbound>

    /** Handles the outcome of a platform call. */
    fun sourceOutcome(call: Long, kind: ResourceKind, outcome: SourceOutcome): List<Outbound>

    /** Does what is due. */
    fun tick(): List<Outbound>

    /** Returns the platform calls to make. */
    fun takeSourceEffects(): List<SourceEffect>
}

/** One host: its daemon may be killed, restarted, frozen and woken. */
class FleetHost(
    val entry: HostEntry,
) {
    /** The daemon, or null while the host is down. */
    var daemon: FleetDaemon? = null

    /** Counts the runs of the daemon, so that what was meant for an earlier run is dropped. */
    var run: Int = 0

    /** Since when the daemon does not answer, or null while it runs. */
    var downSince: Duration? = null

    /** Whether the daemon is stopped in its tracks. */
    var isFrozen: Boolean = false

    /** What arrived while the daemon was frozen. */
    val backlog: ArrayDeque<(FleetDaemon) -> List<Outbound>> = ArrayDeque()

    /** The greatest document number that any run on this host has served. */
    var greatestServed: Long? = null

    /** How often a run has served a number below [greatestServed]. */
    var servedOlder: Int = 0

    /** Bytes received from peers. */
    var receivedBytes: Long = 0

    /** Bytes received from the platform. */
    var sourceBytes: Long = 0

    /** When each document number went in force here, by number. */
    val inForceAt: MutableMap<Long, Duration> = HashMap()
}
