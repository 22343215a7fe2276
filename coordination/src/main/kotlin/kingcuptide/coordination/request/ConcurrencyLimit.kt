package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.version.ServiceSpec
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Adaptive limit of the requests that the target may have in flight.
 *
 * After a cold start the limit is the smaller of two ramps: one that grows with time, from `coldSlots` to `slots` over
 * `coldStartMs`, and one that grows with responses received while the limit was in use. High latency is weaker evidence
 * of a cold target than a crash. After a cut for latency the first responses at `coldSlots` show whether latency
 * depends on concurrency; if it doesn't, the limit recovers with responses alone and the baseline is raised to the
 * higher latency. Not thread-safe; guarded by the gate's lock.
 */
internal class ConcurrencyLimit(
    private var spec: ServiceSpec,
    now: Duration,
    private val onCut: (LimitCutReason) -> Unit,
) {
    private val baseline = LatencyBaseline()
    private val window = LatencyRatioWindow()
    private var provenLimit = coldSlots.toDouble()
    private var rampStartedAt = now
    private var isTimeRampActive = true
    private var hasResponseSinceCold = false
    private var probe: LatencyProbe? = null
    private var lastCutAt = now
    private var lastLatencyCutAt: Duration? = null
    private var consecutiveErrors = 0

    /** Moving average of the time that a request spends at the target. */
    val serviceTime: Duration get() = baseline.meanLatency

    private val slots: Int get() = minOf(spec.slots, spec.maxConnections).coerceAtLeast(1)
    private val coldSlots: Int get() = spec.coldSlots.coerceIn(1, slots)

    /** Returns the limit at [now], as a number of requests. */
    fun current(now: Duration): Int = floor(minOf(provenLimit, timeRampLimit(now), slots.toDouble())).toInt()

    /** Returns whether the limit is below the slots of the warm target. */
    fun isCold(now: Duration): Boolean = current(now) < slots

    /** Applies changed service settings. */
    fun configure(newSpec: ServiceSpec) {
        spec = newSpec
    }

    /** Records a response of the target; [inFlight] still includes its request. */
    fun recordResponse(route: RouteId, startedAt: Duration, now: Duration, inFlight: Int) {
        consecutiveErrors = 0
        if (startedAt < lastCutAt) return
        startTimeRamp(startedAt)
        val ratio = baseline.record(route, now - startedAt, now)
        window.add(ratio)
        val activeProbe = probe
        if (activeProbe != null) return evaluateProbe(activeProbe, ratio, now)
        raiseProvenLimit(now, inFlight)
        if (window.isHigh(current(now))) cutForLatency(window.mean, now)
    }

    /** Records a response by which the target reported overload. */
    fun recordOverload(startedAt: Duration, now: Duration) {
        consecutiveErrors++
        if (startedAt < lastCutAt) return
        if (consecutiveErrors >= CONSECUTIVE_ERRORS_FOR_COLD) return restartRamp(LimitCutReason.OVERLOAD_ANSWER, now)
        cutTo(maxOf(coldSlots.toDouble(), current(now) * OVERLOAD_LIMIT_FACTOR), now)
        onCut(LimitCutReason.OVERLOAD_ANSWER)
    }

    /** Records that a request exceeded its deadline at the target. */
    fun recordTimeout(startedAt: Duration, now: Duration) {
        consecutiveErrors++
        if (startedAt < lastCutAt) return
        if (consecutiveErrors >= CONSECUTIVE_ERRORS_FOR_COLD) restartRamp(LimitCutReason.TIMEOUTS, now)
    }

    /** Cuts the limit if at least half of the requests in flight stall; [startTimes] has route and start of each. */
    fun checkStalled(startTimes: List<Pair<RouteId, Duration>>, now: Duration) {
        if (probe != null) return
        val stalled = startTimes.count { (route, startedAt) -> isStalled(route, startedAt, now) }
        if (stalled >= MIN_STALLED_REQUESTS && stalled * 2 >= startTimes.size) cutForLatency(STALL_LATENCY_RATIO, now)
    }

    /** Restarts the ramp at `coldSlots`, since the target is cold. */
    fun restartRamp(reason: LimitCutReason, now: Duration) {
        cutTo(coldSlots.toDouble(), now)
        hasResponseSinceCold = false
        onCut(reason)
    }

    /** A target that is down does not warm up, so the time ramp starts with the first request that gets a response. */
    private fun startTimeRamp(startedAt: Duration) {
        if (hasResponseSinceCold) return
        hasResponseSinceCold = true
        rampStartedAt = startedAt
    }

    private fun isStalled(route: RouteId, startedAt: Duration, now: Duration): Boolean {
        val age = now - startedAt
        return startedAt >= lastCutAt && age >= MIN_STALL_AGE && baseline.ratio(route, age) >= STALL_LATENCY_RATIO
    }

    private fun cutTo(limit: Double, now: Duration) {
        provenLimit = limit
        rampStartedAt = now - rampTimeUpTo(limit)
        isTimeRampActive = true
        probe = null
        lastCutAt = now
        consecutiveErrors = 0
        window.clear()
    }

    private fun cutForLatency(ratio: Double, now: Duration) {
        val isRepeated = lastLatencyCutAt?.let { now - it < spec.coldStartMs.milliseconds } ?: false
        restartRamp(LimitCutReason.LATENCY, now)
        lastLatencyCutAt = now
        if (!isRepeated) probe = LatencyProbe(ratio)
    }

    private fun evaluateProbe(activeProbe: LatencyProbe, ratio: Double, now: Duration) {
        activeProbe.add(ratio)
        if (!activeProbe.isComplete) return
        probe = null
        if (!activeProbe.isStillSlow) return
        baseline.scale(activeProbe.mean)
        isTimeRampActive = false
        window.clear()
        lastLatencyCutAt = now
    }

    private fun raiseProvenLimit(now: Duration, inFlight: Int) {
        val limit = current(now)
        if (inFlight * 2 < limit) return
        val maxProvenLimit = minOf(slots.toDouble(), timeRampLimit(now) + 1)
        provenLimit = maxOf(provenLimit, minOf(provenLimit + 1.0 / limit, maxProvenLimit))
    }

    private fun timeRampLimit(now: Duration): Double {
        if (!hasResponseSinceCold) return coldSlots.toDouble()
        if (!isTimeRampActive || spec.coldStartMs <= 0) return slots.toDouble()
        val rampProgress = (now - rampStartedAt) / spec.coldStartMs.milliseconds
        return coldSlots + (slots - coldSlots) * rampProgress.coerceIn(0.0, 1.0)
    }

    private fun rampTimeUpTo(limit: Double): Duration {
        if (slots == coldSlots) return spec.coldStartMs.milliseconds
        return spec.coldStartMs.milliseconds * ((limit - coldSlots) / (slots - coldSlots)).coerceIn(0.0, 1.0)
    }

    private companion object {
        const val CONSECUTIVE_ERRORS_FOR_COLD = 3
        const val OVERLOAD_LIMIT_FACTOR = 0.5
        const val STALL_LATENCY_RATIO = 5.0
        const val MIN_STALLED_REQUESTS = 2
        val MIN_STALL_AGE = 100.milliseconds
    }
}

/** Latency of the first responses after a cut for latency, at the lowest concurrency. */
private class LatencyProbe(private val ratioBefore: Double) {
    private var sum = 0.0
    private var count = 0

    val isComplete: Boolean get() = count >= PROBE_RESPONSES
    val mean: Double get() = sum / count

    /** Whether latency stayed high although concurrency fell. */
    val isStillSlow: Boolean get() = mean > maxOf(HIGH_LATENCY_RATIO / 2, ratioBefore / 2)

    fun add(ratio: Double) {
        sum += ratio
        count++
    }

    private companion object {
        const val PROBE_RESPONSES = 3
    }
}

/** The most recent latencies as multiples of the baseline. */
private class LatencyRatioWindow {
    private val ratios = ArrayDeque<Double>()

    val mean: Double get() = ratios.average()

    fun add(ratio: Double) {
        ratios.addLast(ratio)
        if (ratios.size > MAX_RATIOS) ratios.removeFirst()
    }

    fun clear() = ratios.clear()

    fun isHigh(limit: Int): Boolean =
        ratios.size >= minOf(MAX_RATIOS, maxOf(MIN_RATIOS, limit)) && mean > HIGH_LATENCY_RATIO

    private companion object {
        const val MIN_RATIOS = 8
        const val MAX_RATIOS = 16
    }
}

private const val HIGH_LATENCY_RATIO = 3.0
