package kingcuptide.coordination.request

/** Demand of the callers of a daemon by [DemandPool.key]. */
public typealias Demand = Map<Int, DemandEstimate>

/**
 * Demand of callers, in slots of mean targets that it occupies. Estimates of several daemons add up.
 *
 * @property mean over the long averaging time
 * @property trend the short average less [mean]
 * @property variance of [trend] if the demand is constant, from the number of the requests and their work
 */
public data class DemandEstimate(
    val mean: Double,
    val trend: Double,
    val variance: Double,
) {
    public operator fun plus(other: DemandEstimate): DemandEstimate =
        DemandEstimate(mean + other.mean, trend + other.trend, variance + other.variance)

    /**
     * Returns the demand that is [ahead] trends beyond the mean. A trend that chance explains does not count, as with
     * few long requests (the positive-part James-Stein estimator): otherwise a domain with room would send some away.
     */
    internal fun expected(ahead: Double): Double {
        val squared = trend * trend
        val significance = if (squared > variance) 1 - variance / squared else 0.0
        return maxOf(0.0, mean + trend * significance * ahead)
    }

    internal fun isValid(): Boolean =
        mean in 0.0..MAX_SLOTS && trend in -MAX_SLOTS..MAX_SLOTS && variance in 0.0..MAX_SLOTS * MAX_SLOTS

    internal companion object {
        val NONE = DemandEstimate(0.0, 0.0, 0.0)
        private const val MAX_SLOTS = 1e6
    }
}
