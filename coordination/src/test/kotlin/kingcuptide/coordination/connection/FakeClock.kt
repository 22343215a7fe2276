package kingcuptide.coordination.connection

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A clock that a test advances. */
internal class FakeClock(
    var time: Duration = 1_000.seconds,
) : Clock {
    override fun now(): Duration = time
}
