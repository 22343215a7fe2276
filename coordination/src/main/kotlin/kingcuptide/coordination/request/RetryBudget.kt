package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds the retries of one route at one daemon to a share of its recent first attempts, plus a few so that a quiet
 * route may retry at all. Thread-safe.
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
        age()
        firstAttempts += 1
    }

    /** Takes one retry out of the budget of [percent] of the recent first attempts, or returns false if it is spent. */
    @Synchronized
    public fun tryRetry(percent: Int): Boolean {
        age()
        val allowed = maxOf(FLOOR_RETRIES, firstAttempts * percent / 100)
        if (retries + 1 > allowed) return false
        retries += 1
        return true
    }

    private fun age() {
        val now = clock.now()
        val factor = exp(-((now - updatedAt) / MEMORY))
        firstAttempts *= factor
        retries *= factor
        updatedAt = now
    }

    private companion object {
        const val FLOOR_RETRIES = 20.0
        val MEMORY: Duration = 10.seconds
    }
}

/** Creates the retry budget of one route. */
public fun retryBudget(clock: Clock): RetryBudget = RetryBudget(clock)
