package kingcuptide.bench.requests

import kingcuptide.coordination.process.Clock
import java.util.PriorityQueue
import kotlin.time.Duration

/** A clock that moves only from one scheduled event to the next. */
class VirtualTime : Clock {
    private class Event(val at: Duration, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.order })
    private var now = Duration.ZERO
    private var order = 0L

    override fun now(): Duration = now

    /** Runs [action] after [delay]; events of the same moment run in the order of their scheduling. */
    fun after(delay: Duration, action: () -> Unit) {
        events += Event(now + maxOf(delay, Duration.ZERO), order++, action)
    }

    /** Runs [action] every [interval], from [interval] on. */
    fun every(interval: Duration, action: () -> Unit) {
        after(interval) {
            action()
            every(interval, action)
        }
    }

    /** Runs all events up to [end]. */
    fun runUntil(end: Duration) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            now = event.at
            event.action()
        }
        now = end
    }
}
