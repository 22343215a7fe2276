package kingcuptide.forwarder.process

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Measures how long an event loop was held up, from the lateness of a task that runs on it every [interval]. A delay that
 * ends before the next run is due is not seen. Used on the event loop.
 *
 * @param details fields of the line that reports a delay
 */
internal class LoopDelayMonitor(
    private val clock: Clock,
    private val interval: Duration,
    private val log: EventLog = eventLog("daemon"),
    private val details: () -> Array<Pair<String, Any?>>,
) {
    private var lastRunAt: Duration? = null
    private var windowStart = clock.now()
    private var windowMax = Duration.ZERO
    private var previousWindowMax = Duration.ZERO

    /** Sum of the delays of at least [REPORTED_DELAY] since the start. */
    var totalDelay = Duration.ZERO
        private set

    /** Longest delay of the last 10 to 20 s. */
    val maxDelay: Duration
        get() {
            advanceWindow()
            return maxOf(windowMax, previousWindowMax)
        }

    /** Called at the start of each run. */
    fun taskStarted() {
        val now = clock.now()
        val delay = lastRunAt?.let { (now - it - interval).coerceAtLeast(Duration.ZERO) } ?: Duration.ZERO
        lastRunAt = now
        advanceWindow()
        windowMax = maxOf(windowMax, delay)
        if (delay < REPORTED_DELAY) return
        totalDelay += delay
        log.info("event_loop_delayed", "delay_ms" to delay.inWholeMilliseconds, *details())
    }

    private fun advanceWindow() {
        val age = clock.now() - windowStart
        if (age < WINDOW) return
        previousWindowMax = if (age < WINDOW * 2) windowMax else Duration.ZERO
        windowMax = Duration.ZERO
        windowStart = clock.now()
    }

    companion object {
        /** Least delay that is reported: callers may have left for as long before the daemon reads it. */
        val REPORTED_DELAY = 100.milliseconds
        private val WINDOW = 10.seconds
    }
}
