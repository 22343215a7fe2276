package kingcuptide.coordination.process

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Source of monotonic time. Decisions read no other clock, so that tests can control time. */
public interface Clock {
    /** Returns the time since an arbitrary fixed origin. Never decreases; advances while the process is suspended. */
    public fun now(): Duration
}

/** Returns the monotonic clock of this machine. */
public fun systemClock(): Clock = SystemClock

private object SystemClock : Clock {
    override fun now(): Duration = System.nanoTime().nanoseconds
}
