package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kotlin.time.Duration

/**
 * Answers children that withdraw their weight to delegate it to another lender, once nobody counts it here. Until then the
 * child waits; without an answer its lease ends by itself. Not thread-safe.
 */
internal class QuotaReleases(
    private val clock: Clock,
    private val weights: QuotaWeights,
    private val send: (HostId, QuotaMessage) -> Unit,
) {
    private val waiting = ArrayList<Waiting>()

    /** Whether a child waits for its answer. */
    val isPending: Boolean get() = waiting.isNotEmpty()

    /** Stops counting the weight of [child], which is [from]; its messages with an earlier stamp are ignored from now on. */
    fun add(from: HostId, child: QuotaChild, number: Int) {
        val now = clock.now()
        val since = child.releasedAt ?: now
        weights.integrate()
        child.weight = 0
        child.weightStampMs = now.inWholeMilliseconds + 1
        child.releasedAt = since
        waiting.removeIf { it.from == from }
        waiting += Waiting(from, number, since)
    }

    /** Answers those whose weight is not counted any more. */
    fun confirm() {
        if (waiting.isEmpty()) return
        val now = clock.now()
        waiting.removeIf { now - it.since > QuotaWeights.CHAIN_LEASE }
        val withdrawn = waiting.filter { weights.isWithdrawn(it.since) }
        waiting.removeAll(withdrawn)
        withdrawn.forEach { send(it.from, QuotaMessage.Grant(it.number, 0, emptyList(), emptyList())) }
    }

    private class Waiting(
        val from: HostId,
        val number: Int,
        val since: Duration,
    )
}
