package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ServiceId
import kotlin.time.Duration

/**
 * Limits of the retries that the whole fleet may send.
 *
 * @property retryRatio retries that the fleet may send per request, in any [window]
 * @property extraRetries retries that the fleet may send in addition, in any [window]
 */
public data class RetryAllowanceSettings(
    val retryRatio: Double,
    val extraRetries: Int,
    val window: Duration,
)

/**
 * This daemon's share of the fleet's retries to each service. All daemons together stay within the fleet's limits: each
 * uses the ratio of its own requests and an equal share of the extra retries. Not thread-safe.
 */
public class RetryAllowance(
    private val clock: Clock,
    private val settings: () -> RetryAllowanceSettings,
    private val daemons: () -> Int,
) {
    private val countsByService = HashMap<ServiceId, Counts>()

    /** Records a request for [service]. */
    public fun recordRequest(service: ServiceId) {
        countsOf(service).requests.record(clock.now())
    }

    /** Uses one retry to [service] from the allowance, or returns false if it is exhausted. */
    public fun tryAcquire(service: ServiceId): Boolean {
        val now = clock.now()
        val counts = countsOf(service)
        val allowed = counts.requests.count(now) * settings().retryRatio * USED_RATIO_FRACTION + ownExtraRetries()
        if (counts.retries.count(now) + 1 > allowed) return false
        counts.retries.record(now)
        return true
    }

    private fun ownExtraRetries(): Double = settings().extraRetries * USED_EXTRA_FRACTION / maxOf(1, daemons())

    private fun countsOf(service: ServiceId): Counts = countsByService.getOrPut(service) { Counts(settings().window) }

    private class Counts(window: Duration) {
        val requests = SlidingWindowCounter(window, MAX_COUNT_PER_WINDOW)
        val retries = SlidingWindowCounter(window, MAX_COUNT_PER_WINDOW)
    }

    private companion object {
        /** Used part of the ratio; the rest covers the calls that a retried request makes again, two or more. */
        const val USED_RATIO_FRACTION = 0.25

        /** Used part of the extra retries, for the same reason and because daemons may disagree on their number. */
        const val USED_EXTRA_FRACTION = 0.4
        const val MAX_COUNT_PER_WINDOW = 20_000
    }
}
