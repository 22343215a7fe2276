package kingcuptide.bench.fleet

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration

/** Clock that the fleet moves from event to event. */
class VirtualClock : Clock {
    private var time = Duration.ZERO

    override fun now(): Duration = time

    /** Moves the clock to [later]; it never falls. */
    fun advanceTo(later: Duration) {
        time = maxOf(time, later)
    }
}
