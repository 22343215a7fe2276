package kingcuptide.coordination.version

/**
 * The last deltas up to the newest content, so that a peer that is a few versions behind also gets a delta.
 *
 * Bounded by [MAX_DELTAS] and [MAX_DELTA_CHARS]; the oldest are removed first. Not thread-safe.
 */
internal class DeltaHistory {
    private val deltas = ArrayDeque<ResourceDelta>()
    private var charCount = 0L

    /** Adds the delta from the newest content to its successor. */
    fun add(delta: ResourceDelta) {
        deltas.addLast(delta)
        charCount += delta.charCount()
        while (deltas.size > MAX_DELTAS || charCount > MAX_DELTA_CHARS) charCount -= deltas.removeFirst().charCount()
    }

    /** Returns the delta from [base] to [target], or null if a delta between them is not stored. */
    fun between(base: ResourceVersion, target: ResourceVersion): ResourceDelta? {
        val end = deltas.indexOfLast { it.target == target }
        val start = deltas.indexOfLast { it.base == base }
        if (start < 0 || start > end) return null
        val steps = deltas.subList(start, end + 1)
        val isChain = steps.zipWithNext().all { (first, second) -> first.target == second.base }
        return if (isChain) steps.reduce(::join) else null
    }

    private fun join(first: ResourceDelta, second: ResourceDelta): ResourceDelta =
        ResourceDelta(
            kind = first.kind,
            base = first.base,
            target = second.target,
            put = first.put - second.removed + second.put,
            removed = first.removed - second.put.keys + second.removed,
        )

    private fun ResourceDelta.charCount(): Long = put.entries.sumOf { it.key.length + it.value.length.toLong() } +
        removed.sumOf { it.length.toLong() }

    private companion object {
        const val MAX_DELTAS = 64
        const val MAX_DELTA_CHARS = 262_144L
    }
}
