package kingcuptide.coordination.process

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** A token bucket in bytes whose capacity is the budget of one second. */
internal class ByteBudget(
    private val bytesPerSecond: Int,
) {
    private var availableBytes = bytesPerSecond.toDouble()
    private var refilledAt: Duration? = null

    /** Returns whether a message may be sent at [now]. The last one may overdraw the budget. */
    fun allows(now: Duration): Boolean {
        refill(now)
        return availableBytes > 0
    }

    fun spend(bytes: Int) {
        availableBytes -= bytes
    }

    private fun refill(now: Duration) {
        val elapsed = now - (refilledAt ?: now)
        refilledAt = now
        val refilled = availableBytes + elapsed.toDouble(DurationUnit.SECONDS) * bytesPerSecond
        availableBytes = minOf(refilled, bytesPerSecond.toDouble())
    }
}
