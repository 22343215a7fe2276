package kingcuptide.bench.membership

import kingcuptide.coordination.process.Clock
import java.util.PriorityQueue
import kotlin.time.Duration

/** A clock that advances from one scheduled action to the next; those due at one time run in scheduling order. */
class VirtualTime : Clock {
    private val actions = PriorityQueue<ScheduledAction>()
    private var scheduled = 0L
    private var time = Duration.ZERO

    override fun now(): Duration = time

    /** Runs [action] after the delay [after]. */
    fun schedule(after: Duration, action: () -> Unit) {
        actions += ScheduledAction(time + after, scheduled++, action)
    }

    /** Runs all actions due within [duration]. */
    fun run(duration: Duration) {
        val end = time + duration
        while (actions.isNotEmpty() && actions.peek().at <= end) {
            val next = actions.poll()
            time = next.at
            next.action()
        }
        time = end
    }
}

private class ScheduledAction(
    val at: Duration,
    val number: Long,
    val action: () -> Unit,
) : Comparable<ScheduledAction> {
    override fun compareTo(other: ScheduledAction): Int = compareValuesBy(this, other, { it.at }, { it.number })
}
