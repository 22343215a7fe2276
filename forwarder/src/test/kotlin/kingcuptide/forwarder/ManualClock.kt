package kingcuptide.forwarder

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A clock that moves only in [advance]. */
internal class ManualClock(private var now: Duration = 1_000.seconds) : Clock {
    override fun now(): Duration = now

    fun advance(by: Duration) {
        now += by
    }
}
