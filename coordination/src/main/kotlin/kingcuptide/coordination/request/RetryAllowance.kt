package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ServiceId
import kotlin.time.Duration

/**
 * This daemon's share of what the whole fleet may send to a second target.
 *
 * @property ratio second sends that the fleet may make for each request, in any [window]
 * @property extra second sends that the fleet may make besides, in any [window]
 */
public data class RetryAllowanceSettings(
    val ratio: Double,
    val extra: Int,
    val window: Duration,
)

/**
 * Bounds second sends to a service, so that all daemons together stay within the fleet's allowance: each takes the ratio
 * of its own requests and an equal part of the extra ones. Used from one thread.
 */
public class RetryAllowance(
    private val clock: Clock,
    private val settings: () -> RetryAllowanceSettings,
    private val daemons: () -> Int,
) {
    private val services = HashMap<ServiceId, Counts>()

    /** Records a request for [service]. */
    public fun recordRequest(service: ServiceId) {
        countsOf(service).requests.record(clock.now())
    }

    /** Takes one second send to [service] out of the allowance, or returns false if it is spent. */
    public fun tryAcquire(service: ServiceId): Boolean {
        val now = clock.now()
        val counts = countsOf(service)
        val allowed = counts.requests.count(now) * settings().ratio * RATIO_SHARE + ownExtra()
        if (counts.repeats.count(now) + 1 > allowed) return false
        counts.repeats.record(now)
        return true
    }

    private fun ownExtra(): Double = settings().extra * EXTRA_SHARE / maxOf(1, daemons())

    private fun countsOf(service: ServiceId): Counts = services.getOrPut(service) { Counts(settings().window) }

    private class Counts(window: Duration) {
        val requests = SlidingWindowCounter(window, MAX_COUNTED)
        val repeats = SlidingWindowCounter(window, MAX_COUNTED)
    }

    private companion object {
        /** Part of the ratio that is used; the rest is for the calls that a repeated request makes again, two or more. */
        const val RATIO_SHARE = 0.25

        /** Part of the extra ones that is used, for the same reason, and since daemons may miscount each other. */
        const val EXTRA_SHARE = 0.4
        const val MAX_COUNTED = 20_000
    }
}
