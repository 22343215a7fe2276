package kingcuptide.coordination.request.quota

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The processor of one simulated host: work queues for its [share] of a core, in thousandths, and pauses delay it. Pauses
 * are frequent in the first seconds after a start, while the code is compiled, and rare later.
 */
internal class SimulatedCpu(
    val share: Int,
    private val random: Random,
) {
    private val isSlow = share < 1_000
    private var startedAt = Duration.ZERO
    private var requestsUntil = Duration.ZERO
    private var messagesUntil = Duration.ZERO
    private var nextPauseAt = Duration.ZERO

    /** The process starts: nothing is queued, and pauses are frequent again. Returns the time until it is ready. */
    fun start(now: Duration): Duration {
        val startup = STARTUP_COST * (1_000.0 / share) * (0.8 + 0.4 * random.nextDouble())
        startedAt = now + startup
        requestsUntil = startedAt
        messagesUntil = startedAt
        nextPauseAt = startedAt + untilPause(startedAt)
        return startup
    }

    /**
     * Queues work that takes [cost] on a whole core; returns when it is done. The event loop takes turns between its
     * connections, so messages and ticks do not queue behind all requests of a caller, but behind one at most.
     */
    fun finish(now: Duration, cost: Duration, isRequest: Boolean): Duration {
        while (nextPauseAt <= now) {
            val length = pauseLength()
            requestsUntil = maxOf(requestsUntil, nextPauseAt) + length
            messagesUntil = maxOf(messagesUntil, nextPauseAt) + length
            nextPauseAt += untilPause(nextPauseAt)
        }
        if (!isRequest) {
            val begin = maxOf(messagesUntil, minOf(requestsUntil, now + slowed(REQUEST_COST, now)))
            messagesUntil = maxOf(begin, now) + slowed(cost, now)
            return messagesUntil
        }
        requestsUntil = maxOf(requestsUntil, messagesUntil, now) + slowed(cost, now)
        return requestsUntil
    }

    private fun slowed(cost: Duration, now: Duration): Duration =
        cost * (if (now - startedAt < COLD_TIME) COLD_FACTOR else 1) * (1_000.0 / share)

    private fun untilPause(now: Duration): Duration {
        val mean = when {
            now - startedAt < COLD_TIME -> if (isSlow) 800.milliseconds else 2.seconds
            else -> if (isSlow) 10.seconds else 20.seconds
        }
        return mean * -ln(1 - random.nextDouble())
    }

    /** Most pauses are short; the longest of 700 ms are those of hosts with a small share. */
    private fun pauseLength(): Duration {
        val longest = if (isSlow) 650.milliseconds else 200.milliseconds
        return 50.milliseconds + longest * random.nextDouble().let { it * it }
    }

    companion object {
        /** Work of a daemon for one message, tick and request; measured daemons use 0.05 of a core at 20 requests/s. */
        val MESSAGE_COST = 100.microseconds
        val TICK_COST = 100.microseconds
        val REQUEST_COST = 1.milliseconds

        /** Work of a process until it takes part in quotas; measured daemons are ready after 0.3 to 1.3 s of CPU time. */
        private val STARTUP_COST = 250.milliseconds

        /** A daemon with 0.3 of a core uses all of it for about this time after its start. */
        private val COLD_TIME = 5.seconds
        private const val COLD_FACTOR = 4
    }
}
