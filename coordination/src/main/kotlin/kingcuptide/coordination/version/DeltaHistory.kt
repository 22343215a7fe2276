package kingcuptide.coordination.version

/**
 * The differences that led to the newest content, so that a peer a few versions behind gets a difference too.
 *
 * Bounded by [MAX_LINKS] and [MAX_CHARS]; the oldest go first. Not thread-safe.
 */
internal class DeltaHistory {
    private val links = ArrayDeque<ResourceDelta>()
    private var chars = 0L

    /** Adds the step from the newest content to its successor. */
    fun add(delta: ResourceDelta) {
        links.addLast(delta)
        chars += delta.chars()
        while (links.size > MAX_LINKS || chars > MAX_CHARS) chars -= links.removeFirst().chars()
    }

    /** Returns the difference from [base] to [target], or null if the steps are not known. */
    fun between(base: ResourceVersion, target: ResourceVersion): ResourceDelta? {
        val end = links.indexOfLast { it.target == target }
        val start = links.indexOfLast { it.base == base }
        if (start < 0 || start > end) return null
        val steps = links.subList(start, end + 1)
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

    private fun ResourceDelta.chars(): Long = put.entries.sumOf { it.key.length + it.value.length.toLong() } +
        removed.sumOf { it.length.toLong() }

    private companion object {
        const val MAX_LINKS = 64
        const val MAX_CHARS = 262_144L
    }
}
