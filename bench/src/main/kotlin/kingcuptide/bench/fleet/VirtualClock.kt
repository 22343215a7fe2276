package kingcuptide.bench.fleet

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration

/** Clock that [EventQueue] advances from event to event. */
class VirtualClock : Clock {
    private var time = Duration.ZERO

    override fun now(): Duration = time

    /** Advances the clock to [later]; an earlier time has no effect. */
    fun advanceTo(later: Duration) {
        time = maxOf(time, later)
    }
}
