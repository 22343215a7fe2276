package kingcuptide.forwarder.request

import kingcuptide.coordination.request.LeavingTargets
import kingcuptide.coordination.request.TargetInstance
import kingcuptide.coordination.request.instance
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.TargetId

/**
 * Whether the target beside this daemon leaves, by its entry and by its responses.
 *
 * A target that leaves often has no entry any more, and its successor may respond before its own is known: the last known
 * entry tells the instance. Used on the event loop.
 */
internal class OwnTargetLeaving(
    private val published: PublishedState,
    private val leaving: LeavingTargets,
) {
    /** Returns the instance of [id] to which a request is sent now, as far as it is known. */
    fun instanceOf(id: TargetId): TargetInstance = published.lastEntryOf(id)?.instance ?: TargetInstance(id, null)

    /** Returns whether the target [id] leaves. */
    fun isLeaving(id: TargetId): Boolean =
        published.target(id)?.entry?.leaving == true || leaving.isLeaving(instanceOf(id))

    /** Returns the instance of [id] that has said that it leaves, for the load reports, or null if another one runs. */
    fun leavingInstanceOf(id: TargetId): TargetInstance? =
        leaving.leavingInstanceOf(id)?.takeIf { leaving.isLeaving(instanceOf(id)) }
}
