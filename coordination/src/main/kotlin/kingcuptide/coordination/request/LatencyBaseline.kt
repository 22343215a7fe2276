package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Latency baseline of the target for each route, with which current latencies are compared.
 *
 * The baseline adapts slowly, so that a target that degrades over some seconds does not raise its own baseline. Not
 * thread-safe; guarded by the gate's lock.
 */
internal class LatencyBaseline {
    private class Entry(var meanSeconds: Double, var updatedAt: Duration, var samples: Int)

    private val entries = HashMap<RouteId, Entry>()

    /** Moving average of the time that a request spends at the target, over all routes. */
    var meanLatency: Duration = INITIAL_MEAN_LATENCY
        private set

    /** Records a response and returns its latency as a multiple of the baseline; 1 while the baseline is unknown. */
    fun record(route: RouteId, latency: Duration, now: Duration): Double {
        meanLatency += (latency - meanLatency) * MEAN_LATENCY_SMOOTHING
        val entry = entryFor(route, latency, now)
        val ratio = ratioOf(entry, latency)
        update(entry, latency, now)
        return if (entry.samples < MIN_TRUSTED_SAMPLES) 1.0 else ratio
    }

    /** Returns the age of a request in flight as a multiple of the baseline; 1 while the baseline is unknown. */
    fun ratio(route: RouteId, age: Duration): Double {
        val entry = entries[route] ?: return 1.0
        return if (entry.samples < MIN_TRUSTED_SAMPLES) 1.0 else ratioOf(entry, age)
    }

    /** Multiplies all baselines by [factor], after a lasting change of the target's latency. */
    fun scale(factor: Double) = entries.values.forEach { it.meanSeconds *= factor }

    private fun entryFor(route: RouteId, latency: Duration, now: Duration): Entry {
        if (route !in entries && entries.size >= MAX_ROUTES) entries.clear()
        return entries.getOrPut(route) { Entry(latency.toDouble(DurationUnit.SECONDS), now, 0) }
    }

    private fun ratioOf(entry: Entry, latency: Duration): Double =
        (latency / maxOf(entry.meanSeconds.seconds, MIN_BASELINE)).coerceAtMost(MAX_REPORTED_RATIO)

    private fun update(entry: Entry, latency: Duration, now: Duration) {
        entry.samples++
        val clamped = minOf(latency.toDouble(DurationUnit.SECONDS), entry.meanSeconds * MAX_SAMPLE_RATIO)
        entry.meanSeconds += weightOf(entry, now) * (clamped - entry.meanSeconds)
        entry.updatedAt = now
    }

    private fun weightOf(entry: Entry, now: Duration): Double {
        if (entry.samples <= MIN_TRUSTED_SAMPLES) return 1.0 / entry.samples
        return 1 - exp(-((now - entry.updatedAt) / BASELINE_TIME_CONSTANT))
    }

    private companion object {
        const val MAX_ROUTES = 256
        const val MIN_TRUSTED_SAMPLES = 20
        const val MEAN_LATENCY_SMOOTHING = 0.05
        const val MAX_SAMPLE_RATIO = 3.0
        const val MAX_REPORTED_RATIO = 8.0
        val BASELINE_TIME_CONSTANT = 30.seconds
        val MIN_BASELINE = 2.milliseconds
        val INITIAL_MEAN_LATENCY = 50.milliseconds
    }
}
