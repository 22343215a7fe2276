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
    private var busyUntil = Duration.ZERO
    private var nextPauseAt = Duration.ZERO

    /** The process starts: nothing is queued, and pauses are frequent again. */
    fun start(now: Duration) {
        startedAt = now
        busyUntil = now
        nextPauseAt = now + untilPause(now)
    }

    /** Queues work that takes [cost] on a whole core; returns when it is done. */
    fun finish(now: Duration, cost: Duration): Duration {
        while (nextPauseAt <= now) {
            busyUntil = maxOf(busyUntil, nextPauseAt) + pauseLength()
            nextPauseAt += untilPause(nextPauseAt)
        }
        val factor = if (now - startedAt < COLD_TIME) COLD_FACTOR else 1
        busyUntil = maxOf(busyUntil, now) + cost * factor * (1_000.0 / share)
        return busyUntil
    }

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

        /** A daemon with 0.3 of a core uses all of it for about this time after its start. */
        private val COLD_TIME = 5.seconds
        private const val COLD_FACTOR = 4
    }
}
