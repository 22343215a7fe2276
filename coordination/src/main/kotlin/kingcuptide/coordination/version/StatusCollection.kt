package kingcuptide.coordination.version

import kingcuptide.coordination.connection.StatusReply
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.hostKey
import kotlin.time.Duration

/** One group that was asked and has not answered. */
internal class StatusPart(
    val number: Int,
    val collection: StatusCollection,
    val group: HostGroup,
    val sentAt: Duration,
    val deadline: Duration,
) {
    var accepted = false
    var resent = false

    val single: Boolean get() = group.others.isEmpty()

    /** Number of hosts that the answer has to account for. */
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

/** Who asked for a collection. */
internal sealed interface Asker {
    /** Another daemon, for the group of its [part]. */
    data class Peer(
        val host: HostId,
        val part: Int,
    ) : Asker

    /** Callers on this daemon. */
    class Local : Asker {
        val callbacks = mutableListOf<(ConvergenceSummary) -> Unit>()
    }
}

/** The summing up of one group of hosts, for [asker], until [deadline]. */
internal class StatusCollection(
    val asker: Asker,
    val hosts: List<HostEntry>,
    val startedAt: Duration,
    val deadline: Duration,
) {
    val tally = StatusTally()
    val open = LinkedHashMap<Int, StatusPart>()
    val unresolved = mutableListOf<Int>()
}
