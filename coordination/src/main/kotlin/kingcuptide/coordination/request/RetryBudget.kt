package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the retries of one route at one daemon to a percentage of its recent first attempts, or to [MIN_RETRIES] if
 * that is more, so that a route with little traffic can retry at all. Thread-safe.
 */
public class RetryBudget internal constructor(
    private val clock: Clock,
) {
    private var firstAttempts = 0.0
    private var retries = 0.0
    private var updatedAt = clock.now()

    /** Records the first attempt of a request. */
    @Synchronized
    public fun recordFirstAttempt() {
        decay()
        firstAttempts += 1
    }

    /** Uses one retry from a budget of [percent] of the recent first attempts, or returns false if it is exhausted. */
    @Synchronized
    public fun tryRetry(percent: Int): Boolean {
        decay()
        val allowed = maxOf(MIN_RETRIES, firstAttempts * percent / 100)
        if (retries + 1 > allowed) return false
        retries += 1
        return true
    }

    private fun decay() {
        val now = clock.now()
        val decayFactor = exp(-((now - updatedAt) / DECAY_TIME))
        firstAttempts *= decayFactor
        retries *= decayFactor
        updatedAt = now
    }

    private companion object {
        const val MIN_RETRIES = 20.0
        val DECAY_TIME: Duration = 10.seconds
    }
}

/** Creates the retry budget of one route. */
public fun retryBudget(clock: Clock): RetryBudget = RetryBudget(clock)
