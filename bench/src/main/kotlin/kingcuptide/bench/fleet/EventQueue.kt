package kingcuptide.bench.fleet

import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in order of virtual time; actions due at the same time run in the order in which they were added. */
class EventQueue(
    private val clock: VirtualClock,
) {
    private val queue = PriorityQueue<Event>(compareBy({ it.at }, { it.sequence }))
    private var sequence = 0L

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) {
        queue += Event(clock.now() + delay, sequence++, action)
    }

    /** Runs every action due up to and including [end], and advances the clock to [end]. */
    fun runUntil(end: Duration) {
        while (true) {
            val next = queue.peek()?.takeIf { it.at <= end } ?: break
            queue.poll()
            clock.advanceTo(next.at)
            next.action()
        }
        clock.advanceTo(end)
    }

    private class Event(
        val at: Duration,
        val sequence: Long,
        val action: () -> Unit,
    )
}
