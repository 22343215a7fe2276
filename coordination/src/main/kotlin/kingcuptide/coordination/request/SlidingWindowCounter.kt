package kingcuptide.coordination.request

import kotlin.time.Duration

/** Counts the events within the last [window], exactly up to [capacity] events. Not thread-safe. */
public class SlidingWindowCounter(
    private val window: Duration,
    private val capacity: Int,
) {
    private val times = ArrayDeque<Duration>()

    /** Records an event at [now]. */
    public fun record(now: Duration) {
        if (times.size == capacity) times.removeFirst()
        times.addLast(now)
    }

    /** Returns the number of events within the window that ends at [now]. */
    public fun count(now: Duration): Int {
        while (times.isNotEmpty() && now - times.first() > window) times.removeFirst()
        return times.size
    }

    /** Returns the time until fewer than [limit] events are within the window; zero if that is so at [now]. */
    public fun timeUntilBelow(limit: Int, now: Duration): Duration {
        val excess = count(now) - limit
        if (excess < 0) return Duration.ZERO
        return (times[excess] + window - now).coerceAtLeast(Duration.ZERO)
    }
}
