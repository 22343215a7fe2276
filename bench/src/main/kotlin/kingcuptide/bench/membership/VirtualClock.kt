package kingcuptide.bench.membership

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration

/** A clock that stands still until it is set. */
class VirtualClock : Clock {
    private var time = Duration.ZERO

    override fun now(): Duration = time

    /** Sets the time to [target], which is not before the present time. */
    fun advanceTo(target: Duration) {
        require(target >= time) { "the clock never falls" }
        time = target
    }
}
