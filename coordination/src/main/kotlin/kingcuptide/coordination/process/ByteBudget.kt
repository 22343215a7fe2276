package kingcuptide.coordination.process

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** A token bucket over bytes that holds one second's worth. */
internal class ByteBudget(
    private val bytesPerSecond: Int,
) {
    private var available = bytesPerSecond.toDouble()
    private var refilledAt: Duration? = null

    /** Returns whether anything may be sent at [now]. The last message may overdraw the budget. */
    fun allows(now: Duration): Boolean {
        refill(now)
        return available > 0
    }

    fun spend(bytes: Int) {
        available -= bytes
    }

    private fun refill(now: Duration) {
        val elapsed = now - (refilledAt ?: now)
        refilledAt = now
        val refilled = available + elapsed.toDouble(DurationUnit.SECONDS) * bytesPerSecond
        available = minOf(refilled, bytesPerSecond.toDouble())
    }
}
