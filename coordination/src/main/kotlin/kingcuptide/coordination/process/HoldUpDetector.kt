package kingcuptide.coordination.process

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Finds from regular ticks when this process was held up: suspended, or without processor time. What it notices right
 * after that, such as a signal, may have happened at any time meanwhile. The start of a process, before its first tick, is no
 * hold-up, however long it takes. Use from one thread.
 *
 * @param maxInterval longest time between two ticks of a process that is not held up
 */
public class HoldUpDetector(
    private val clock: Clock,
    private val maxInterval: Duration,
) {
    private var lastTickAt: Duration? = null
    private var heldUpFrom = -Duration.INFINITE
    private var heldUpUntil = -Duration.INFINITE

    /** Records that the process runs. */
    public fun tick() {
        val now = clock.now()
        val last = lastTickAt
        if (last != null && now - last > maxInterval) {
            heldUpFrom = last
            heldUpUntil = now
        }
        lastTickAt = now
    }

    /** Returns the earliest time at which something can have happened that this process noticed at [noticedAt]. */
    public fun earliestTimeOf(noticedAt: Duration): Duration {
        tick()
        val isNoticedAfterwards = noticedAt >= heldUpFrom && noticedAt - heldUpUntil < NOTICE_TIME
        return if (isNoticedAfterwards) heldUpFrom else noticedAt
    }

    private companion object {
        /** Time after the end of a hold-up in which the process notices what has happened meanwhile. */
        val NOTICE_TIME = 250.milliseconds
    }
}
