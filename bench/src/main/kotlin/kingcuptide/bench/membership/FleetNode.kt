package kingcuptide.bench.membership

import kingcuptide.coordination.connection.MembershipMessage
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Membership

/** A message that arrived at a frozen process. */
data class BufferedMessage(
    val from: HostId,
    val message: MembershipMessage,
)

/** One daemon of a [MembershipFleet]: its process may run, be frozen, or be gone. */
class FleetNode(
    val entry: HostEntry,
    var membership: Membership,
) {
    val host: HostId get() = entry.host

    /** Number of restarts on this host; identifies the process. */
    var process = 0

    var running = true

    var frozen = false

    /** Messages that arrived while the process was frozen, up to the size of its socket buffer. */
    val buffer = ArrayDeque<BufferedMessage>()

    var receivedBytes = 0L

    var receivedMessages = 0L

    var crossRegionBytes = 0L

    /** Whether this daemon runs and is not frozen. */
    val live: Boolean get() = running && !frozen
}
