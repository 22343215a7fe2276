package kingcuptide.coordination.version

import kingcuptide.coordination.connection.StatusReply
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.hostKey
import kotlin.time.Duration

/** An open status request to one group of hosts. */
internal class StatusPart(
    val number: Int,
    val collection: StatusCollection,
    val group: HostGroup,
    val sentAt: Duration,
    val deadline: Duration,
) {
    var accepted = false
    var resent = false

    val isSingleHost: Boolean get() = group.others.isEmpty()

    /** Number of hosts that the reply has to account for. */
    val size: Int get() = group.others.size + 1

    fun keys(): List<Int> = group.others.map { hostKey(it.host) }

    /** Returns whether [reply] accounts for each host of the group exactly once. */
    fun matches(reply: StatusReply): Boolean {
        val counted = reply.rows.all { it.count > 0 && it.samples.size <= it.count }
        val unresolved = reply.unresolved
        val known = unresolved.isEmpty() || keys().toSet().containsAll(unresolved)
        val distinct = unresolved.distinct().size == unresolved.size
        return counted &&
            known &&
            distinct &&
            reply.unreachableTotal >= reply.unreachable.size &&
            reply.unreachable.size == reply.unreachable.distinct().size &&
            reply.total() == size
    }
}

/** The origin of a collection. */
internal sealed interface Requester {
    /** Another daemon, for the group of its request [part]. */
    data class Peer(
        val host: HostId,
        val part: Int,
    ) : Requester

    /** Callers on this daemon. */
    class Local : Requester {
        val callbacks = mutableListOf<(ConvergenceSummary) -> Unit>()
    }
}

/** The collection of the versions of one group of hosts for [requester], until [deadline]. */
internal class StatusCollection(
    val requester: Requester,
    val hosts: List<HostEntry>,
    val startedAt: Duration,
    val deadline: Duration,
) {
    val tally = StatusTally()
    val open = LinkedHashMap<Int, StatusPart>()
    val unresolved = mutableListOf<Int>()
}
