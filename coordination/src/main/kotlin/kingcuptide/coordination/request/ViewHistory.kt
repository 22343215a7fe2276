package kingcuptide.coordination.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kotlin.time.Duration

/** The views that a witness held, back to the hold-off. Not thread-safe: its witness guards it. */
internal class ViewHistory(
    private val self: HostId,
    private val holdOff: Duration,
) {
    private val held = ArrayDeque<HeldView>()

    /** The view held at this moment, or null before the first. */
    val current: WitnessView?
        get() = held.lastOrNull()?.view

    /** When the oldest view that is remembered was first held, or null before the first. */
    val start: Duration?
        get() = held.firstOrNull()?.since

    /** Notes that [view] is held from [now] on. */
    fun update(
        view: WitnessView,
        now: Duration,
    ) {
        if (view != current) {
            held.addLast(HeldView(view, now))
        }
        // The second oldest already covers the hold-off, so the oldest says nothing more.
        while (held.size > 1 && (held[1].since <= now - holdOff || held.size > MAX_VIEWS)) {
            held.removeFirst()
        }
    }

    /** Forgets all views, so that responsibility counts from the next one. */
    fun clear() {
        held.clear()
    }

    /** Returns since when this host has been a witness of [keyHash] without a break, or null if it is none. */
    fun responsibleSince(
        keyHash: String,
        homeRegions: Set<RegionId>,
    ): Duration? {
        var since: Duration? = null
        for (entry in held.asReversed()) {
            if (self !in entry.view.witnesses(keyHash, homeRegions)) {
                return since
            }
            since = entry.since
        }
        return since
    }

    private class HeldView(
        val view: WitnessView,
        val since: Duration,
    )

    private companion object {
        /** Views remembered; a list that changes more often makes its witnesses young. */
        const val MAX_VIEWS = 64
    }
}
