package kingcuptide.coordination.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Token bucket for the requests a second that a target has named; without a named rate it limits nothing.
 *
 * A rate may be a fraction. The bucket is empty when a rate is named first, since the target has just had requests. Not
 * thread-safe.
 */
internal class NamedRate {
    private var tokens = 0.0
    private var refilledAt = Duration.ZERO

    /** Requests a second, or null for no limit. */
    var perSecond: Double? = null
        private set

    /** Changes the rate; tokens are kept as far as the new rate allows. */
    fun set(perSecond: Double?, now: Duration) {
        refill(now)
        if (this.perSecond == null) tokens = 0.0
        this.perSecond = perSecond
        tokens = tokens.coerceAtMost(burst())
    }

    /** Returns whether a request may start. */
    fun canStart(now: Duration): Boolean = timeUntilStart(0, now) == Duration.ZERO

    /** Uses the token of a request that starts. */
    fun recordStart(now: Duration) {
        if (perSecond == null) return
        refill(now)
        tokens--
    }

    /** Returns the time until a request may start behind [ahead] others; infinite at a rate of 0. */
    fun timeUntilStart(ahead: Int, now: Duration): Duration {
        val rate = perSecond ?: return Duration.ZERO
        refill(now)
        val missing = ahead + 1 - tokens
        return when {
            missing <= ROUNDING_ERROR -> Duration.ZERO
            rate == 0.0 -> Duration.INFINITE
            else -> 1.seconds * (missing / rate)
        }
    }

    private fun refill(now: Duration) {
        val rate = perSecond ?: 0.0
        tokens = (tokens + rate * (now - refilledAt).toDouble(DurationUnit.SECONDS)).coerceAtMost(burst())
        refilledAt = now
    }

    /** At least one token, so that rates below one are possible. */
    private fun burst(): Double = maxOf(1.0, (perSecond ?: 0.0) * BURST_TIME.toDouble(DurationUnit.SECONDS))

    private companion object {
        /** Time at the named rate that may be saved up for a burst. */
        val BURST_TIME = 250.milliseconds
        const val ROUNDING_ERROR = 1e-6
    }
}
