package kingcuptide.coordination.version

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Token bucket that refills at [ratePerSecond] up to [burst]. Not thread-safe. */
internal class TokenBucket(
    private val clock: Clock,
    private var ratePerSecond: Double,
    private var burst: Double,
) {
    private var tokens = burst
    private var refilledAt: Duration = clock.now()

    /** Changes rate and burst; the current tokens are kept, up to the new burst. */
    fun resize(ratePerSecond: Double, burst: Double) {
        refill()
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        tokens = tokens.coerceAtMost(burst)
    }

    /** Acquires [amount] tokens if available, or if the bucket is full and [amount] exceeds its size. */
    fun tryAcquire(amount: Double = 1.0): Boolean {
        refill()
        if (tokens < amount && tokens < burst) return false
        tokens -= amount
        return true
    }

    private fun refill() {
        val now = clock.now()
        tokens = (tokens + (now - refilledAt).toDouble(DurationUnit.SECONDS) * ratePerSecond).coerceAtMost(burst)
        refilledAt = now
    }
}
