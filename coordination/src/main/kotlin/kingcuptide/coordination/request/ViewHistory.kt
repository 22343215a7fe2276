package kingcuptide.coordination.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kotlin.time.Duration

/** The views that a witness used within the hold-off. Not thread-safe: [KeyWitness] synchronizes access. */
internal class ViewHistory(
    private val self: HostId,
    private val holdOff: Duration,
) {
    private val entries = ArrayDeque<HistoryEntry>()

    /** The current view, or null before the first. */
    val current: WitnessView?
        get() = entries.lastOrNull()?.view

    /** When the oldest stored view came into use, or null before the first. */
    val start: Duration?
        get() = entries.firstOrNull()?.since

    /** Records that [view] is in use from [now] on. */
    fun update(
        view: WitnessView,
        now: Duration,
    ) {
        if (view != current) {
            entries.addLast(HistoryEntry(view, now))
        }
        // Once the second oldest view covers the hold-off, the oldest is no longer needed.
        while (entries.size > 1 && (entries[1].since <= now - holdOff || entries.size > MAX_ENTRIES)) {
            entries.removeFirst()
        }
    }

    /** Removes all views, so that responsibility starts with the next one. */
    fun clear() {
        entries.clear()
    }

    /** Returns since when this host has been a witness of [keyHash] without a break, or null if it is not one. */
    fun responsibleSince(
        keyHash: String,
        homeRegions: Set<RegionId>,
    ): Duration? {
        var since: Duration? = null
        for (entry in entries.asReversed()) {
            if (self !in entry.view.witnesses(keyHash, homeRegions)) {
                return since
            }
            since = entry.since
        }
        return since
    }

    private class HistoryEntry(
        val view: WitnessView,
        val since: Duration,
    )

    private companion object {
        /** Stored views; with more changes than this within the hold-off, the hold-off is never completed. */
        const val MAX_ENTRIES = 64
    }
}
