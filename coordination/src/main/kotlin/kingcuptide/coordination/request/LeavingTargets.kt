package kingcuptide.coordination.request

import kingcuptide.coordination.version.TargetId

/** A target that has said in a response that it leaves; [startedAtUnixMs] is the start of its instance. */
public data class LeavingTarget(
    val id: TargetId,
    val startedAtUnixMs: Long,
)

/**
 * Targets that have said in a response that they leave. It holds for the instance that has said so: one that started later
 * under the same id is another. Not thread-safe.
 */
public class LeavingTargets {
    private val startsById = object : LinkedHashMap<TargetId, Long>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<TargetId, Long>): Boolean = size > MAX_TARGETS
    }

    /**
     * Records that [id] leaves, which started at [startedAtUnixMs], null if that is not known. Returns whether this was
     * not known.
     */
    public fun record(id: TargetId, startedAtUnixMs: Long?): Boolean {
        if (isLeaving(id, startedAtUnixMs)) return false
        startsById[id] = startedAtUnixMs ?: Long.MAX_VALUE
        return true
    }

    /** Returns whether [id] has said that it leaves; [startedAtUnixMs] is its start, null if that is not known. */
    public fun isLeaving(id: TargetId, startedAtUnixMs: Long?): Boolean {
        val recorded = startsById[id] ?: return false
        return startedAtUnixMs == null || startedAtUnixMs <= recorded
    }

    private companion object {
        const val MAX_TARGETS = 1_024
    }
}
