package kingcuptide.coordination.request

import kingcuptide.coordination.version.TargetId

/**
 * Instances of targets that have said in a response that they leave.
 *
 * A record holds for the instance that has said so and for those that started before it under the same id. Where a start
 * is unknown, it holds until the entry of the id is removed and published again. Not thread-safe.
 */
public class LeavingTargets {
    private val recordById = object : LinkedHashMap<TargetId, Record>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<TargetId, Record>): Boolean = size > MAX_TARGETS
    }
    private var publishedIds = emptySet<TargetId>()

    /** Records that [instance] leaves. Returns whether this was not known. */
    public fun record(instance: TargetInstance): Boolean {
        if (isLeaving(instance)) return false
        recordById[instance.id] = Record(instance, isUnpublished = instance.id !in publishedIds)
        return true
    }

    /** Returns whether [instance] is known to leave. */
    public fun isLeaving(instance: TargetInstance): Boolean {
        val recorded = recordById[instance.id]?.instance ?: return false
        val recordedStart = recorded.startedAtUnixMs ?: return true
        return instance.startedAtUnixMs == null || instance.startedAtUnixMs <= recordedStart
    }

    /** Returns the instance of [id] that is recorded as leaving, or null. */
    public fun leavingInstanceOf(id: TargetId): TargetInstance? = recordById[id]?.instance

    /** Compares the records with all [published] instances; called whenever these change. */
    public fun stateChanged(published: Collection<TargetInstance>) {
        val publishedById = published.associateBy { it.id }
        publishedIds = publishedById.keys
        recordById.values.removeIf { record ->
            val current = publishedById[record.instance.id]
            val isSuccessor = current != null && record.isUnpublished && !areStartsKnown(record.instance, current)
            record.isUnpublished = record.isUnpublished || current == null
            isSuccessor
        }
    }

    private fun areStartsKnown(first: TargetInstance, second: TargetInstance): Boolean =
        first.startedAtUnixMs != null && second.startedAtUnixMs != null

    /** @property isUnpublished whether the id has had no entry since [instance] was recorded, or had none then */
    private class Record(
        val instance: TargetInstance,
        var isUnpublished: Boolean,
    )

    private companion object {
        const val MAX_TARGETS = 1_024
    }
}
