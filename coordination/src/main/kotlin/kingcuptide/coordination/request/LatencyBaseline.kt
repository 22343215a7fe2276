package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Usual latency of the target for each route, against which the recent one is judged.
 *
 * The baseline follows slowly, so that a target that degrades over some seconds does not drag its own yardstick along.
 * Not thread-safe; guarded by the gate.
 */
internal class LatencyBaseline {
    private class Entry(var seconds: Double, var updatedAt: Duration, var samples: Int)

    private val entries = HashMap<RouteId, Entry>()

    /** Mean time that a request spends at the target, over all routes. */
    var recent: Duration = INITIAL_SERVICE_TIME
        private set

    /** Records one answer and returns its latency in multiples of the baseline; 1 while the baseline is unknown. */
    fun record(route: RouteId, latency: Duration, now: Duration): Double {
        recent += (latency - recent) * RECENT_WEIGHT
        val entry = entryFor(route, latency, now)
        val ratio = ratioOf(entry, latency)
        follow(entry, latency, now)
        return if (entry.samples < TRUSTED_SAMPLES) 1.0 else ratio
    }

    /** Returns the age of a request in flight in multiples of the baseline; 1 while the baseline is unknown. */
    fun ratio(route: RouteId, age: Duration): Double {
        val entry = entries[route] ?: return 1.0
        return if (entry.samples < TRUSTED_SAMPLES) 1.0 else ratioOf(entry, age)
    }

    /** Multiplies all baselines by [factor]: the slower latency is the usual one from here on. */
    fun raise(factor: Double) = entries.values.forEach { it.seconds *= factor }

    private fun entryFor(route: RouteId, latency: Duration, now: Duration): Entry {
        if (route !in entries && entries.size >= MAX_ROUTES) entries.clear()
        return entries.getOrPut(route) { Entry(latency.toDouble(DurationUnit.SECONDS), now, 0) }
    }

    private fun ratioOf(entry: Entry, latency: Duration): Double =
        (latency / maxOf(entry.seconds.seconds, LATENCY_FLOOR)).coerceAtMost(MAX_RATIO)

    private fun follow(entry: Entry, latency: Duration, now: Duration) {
        entry.samples++
        val clamped = minOf(latency.toDouble(DurationUnit.SECONDS), entry.seconds * MAX_RISE)
        entry.seconds += weightOf(entry, now) * (clamped - entry.seconds)
        entry.updatedAt = now
    }

    private fun weightOf(entry: Entry, now: Duration): Double {
        if (entry.samples <= TRUSTED_SAMPLES) return 1.0 / entry.samples
        return 1 - exp(-((now - entry.updatedAt) / FOLLOW_TIME))
    }

    private companion object {
        const val MAX_ROUTES = 256
        const val TRUSTED_SAMPLES = 20
        const val RECENT_WEIGHT = 0.05
        const val MAX_RISE = 3.0
        const val MAX_RATIO = 8.0
        val FOLLOW_TIME = 30.seconds
        val LATENCY_FLOOR = 2.milliseconds
        val INITIAL_SERVICE_TIME = 50.milliseconds
    }
}
