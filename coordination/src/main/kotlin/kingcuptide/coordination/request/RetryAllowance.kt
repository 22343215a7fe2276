package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ServiceId
import kotlin.math.ceil
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
 * uses the ratio of its own requests and an equal share of the extra retries. A retry whose run makes calls again is a
 * retry at the services that it calls, too, and uses their allowances. Not thread-safe.
 */
public class RetryAllowance(
    private val clock: Clock,
    private val settings: () -> RetryAllowanceSettings,
    private val daemons: () -> Int,
) {
    private val countsByService = HashMap<Int, Counts>()

    /** Records a request of a caller for [service]; calls of running requests do not raise the limits of the fleet. */
    public fun recordRequest(service: ServiceId) {
        countsOf(serviceKeyOf(service)).requests.record(clock.now())
    }

    /**
     * Uses one retry to [service] from the allowances, of which a run makes the mean number of [calls] by service key, or
     * returns false if one of them is exhausted. With null, the calls are unknown and taken for many.
     */
    public fun tryAcquire(service: ServiceId, calls: Map<Int, Double>?): Boolean {
        val now = clock.now()
        val costs = HashMap(calls.orEmpty())
        costs.merge(serviceKeyOf(service), if (calls == null) UNKNOWN_CALLS_COST else 1.0, Double::plus)
        if (costs.any { (key, cost) -> !hasLeft(key, cost, now) }) return false
        costs.forEach { (key, cost) -> countsOf(key).use(cost, now) }
        return true
    }

    private fun hasLeft(service: Int, cost: Double, now: Duration): Boolean {
        val counts = countsOf(service)
        val allowed = counts.requests.count(now) * settings().retryRatio * USED_RATIO_FRACTION + ownExtraRetries()
        return counts.used(now) + cost <= allowed
    }

    private fun ownExtraRetries(): Double = settings().extraRetries * USED_EXTRA_FRACTION / maxOf(1, daemons())

    private fun countsOf(service: Int): Counts = countsByService.getOrPut(service) { Counts(settings().window) }

    private class Counts(window: Duration) {
        val requests = SlidingWindowCounter(window, MAX_COUNT_PER_WINDOW)
        private val retryUnits = SlidingWindowCounter(window, MAX_COUNT_PER_WINDOW)

        fun used(now: Duration): Double = retryUnits.count(now) / UNITS_PER_RETRY

        fun use(cost: Double, now: Duration) = repeat(ceil(cost * UNITS_PER_RETRY).toInt()) { retryUnits.record(now) }
    }

    private companion object {
        /** Used part of the ratio; the rest covers runs that make more calls than the mean of their route. */
        const val USED_RATIO_FRACTION = 0.75

        /** Used part of the extra retries, for the same reason and because daemons may disagree on their number. */
        const val USED_EXTRA_FRACTION = 0.5

        /** Cost of a retry of a route of which no run is known; it may make several calls. */
        const val UNKNOWN_CALLS_COST = 4.0

        /** Costs are counted in parts of a retry, since a run makes a mean number of calls. */
        const val UNITS_PER_RETRY = 10.0
        const val MAX_COUNT_PER_WINDOW = 100_000
    }
}
