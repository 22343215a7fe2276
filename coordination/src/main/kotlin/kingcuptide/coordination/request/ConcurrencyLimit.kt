package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.version.ServiceSpec
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How many requests the target may have in flight.
 *
 * After a cold start the limit is the smaller of two ramps: one that grows with time, from `coldSlots` to `slots` over
 * `coldStartMs`, and one that grows with answers given while the limit was in use. Latency alone is weaker evidence of a
 * cold target than a lost one: after such a cut the first answers at `coldSlots` tell whether latency depends on
 * concurrency at all, and if it doesn't, the limit returns by answers alone and the slower latency becomes the usual one.
 * Not thread-safe; guarded by the gate.
 */
internal class ConcurrencyLimit(
    private var spec: ServiceSpec,
    now: Duration,
    private val onCut: (LimitCutReason) -> Unit,
) {
    private val baseline = LatencyBaseline()
    private val window = RatioWindow()
    private var proven = coldSlots.toDouble()
    private var rampStart = now
    private var rampByTime = true
    private var isAnsweredSinceCold = false
    private var trial: ColdTrial? = null
    private var lastCut = now
    private var lastLatencyCut: Duration? = null
    private var errorsInRow = 0

    /** Mean time that a request spends at the target. */
    val serviceTime: Duration get() = baseline.recent

    private val slots: Int get() = minOf(spec.slots, spec.maxConnections).coerceAtLeast(1)
    private val coldSlots: Int get() = spec.coldSlots.coerceIn(1, slots)

    /** Returns the limit at this moment. */
    fun current(now: Duration): Int = floor(minOf(proven, timeCap(now), slots.toDouble())).toInt()

    /** Returns whether the limit is below what the warm target bears. */
    fun isCold(now: Duration): Boolean = current(now) < slots

    /** Takes over changed figures of the service. */
    fun configure(newSpec: ServiceSpec) {
        spec = newSpec
    }

    /** Records an answer of the target; [inFlight] counts it still. */
    fun answered(route: RouteId, startedAt: Duration, now: Duration, inFlight: Int) {
        errorsInRow = 0
        if (startedAt < lastCut) return
        startRamp(startedAt)
        val ratio = baseline.record(route, now - startedAt, now)
        window.add(ratio)
        val running = trial
        if (running != null) return judge(running, ratio, now)
        grow(now, inFlight)
        if (window.isHigh(current(now))) latencyCut(window.mean, now)
    }

    /** Records that the target answered that it has too much. */
    fun overloaded(startedAt: Duration, now: Duration) {
        errorsInRow++
        if (startedAt < lastCut) return
        if (errorsInRow >= ERRORS_FOR_COLD) return turnedCold(LimitCutReason.OVERLOAD_ANSWER, now)
        cutTo(maxOf(coldSlots.toDouble(), current(now) * OVERLOAD_FACTOR), now)
        onCut(LimitCutReason.OVERLOAD_ANSWER)
    }

    /** Records that a request passed its deadline at the target. */
    fun timedOut(startedAt: Duration, now: Duration) {
        errorsInRow++
        if (startedAt < lastCut) return
        if (errorsInRow >= ERRORS_FOR_COLD) turnedCold(LimitCutReason.TIMEOUTS, now)
    }

    /** Looks for requests in flight that take far longer than usual: [ages] holds route and start of each. */
    fun checkStalled(ages: List<Pair<RouteId, Duration>>, now: Duration) {
        if (trial != null) return
        val stalled = ages.count { (route, startedAt) -> isStalled(route, startedAt, now) }
        if (stalled >= MIN_STALLED && stalled * 2 >= ages.size) latencyCut(STALL_RATIO, now)
    }

    /** Starts the ramp over: the target is cold. */
    fun turnedCold(reason: LimitCutReason, now: Duration) {
        cutTo(coldSlots.toDouble(), now)
        isAnsweredSinceCold = false
        onCut(reason)
    }

    /** A target that is down does not warm up, so time counts from the first request that it answers. */
    private fun startRamp(startedAt: Duration) {
        if (isAnsweredSinceCold) return
        isAnsweredSinceCold = true
        rampStart = startedAt
    }

    private fun isStalled(route: RouteId, startedAt: Duration, now: Duration): Boolean {
        val age = now - startedAt
        return startedAt >= lastCut && age >= STALL_FLOOR && baseline.ratio(route, age) >= STALL_RATIO
    }

    private fun cutTo(limit: Double, now: Duration) {
        proven = limit
        rampStart = now - rampTimeFor(limit)
        rampByTime = true
        trial = null
        lastCut = now
        errorsInRow = 0
        window.clear()
    }

    private fun latencyCut(ratio: Double, now: Duration) {
        val repeated = lastLatencyCut?.let { now - it < spec.coldStartMs.milliseconds } ?: false
        turnedCold(LimitCutReason.LATENCY, now)
        lastLatencyCut = now
        if (!repeated) trial = ColdTrial(ratio)
    }

    private fun judge(running: ColdTrial, ratio: Double, now: Duration) {
        running.add(ratio)
        if (!running.complete) return
        trial = null
        if (!running.stillSlow) return
        baseline.raise(running.mean)
        rampByTime = false
        window.clear()
        lastLatencyCut = now
    }

    private fun grow(now: Duration, inFlight: Int) {
        val limit = current(now)
        if (inFlight * 2 < limit) return
        val ahead = minOf(slots.toDouble(), timeCap(now) + 1)
        proven = maxOf(proven, minOf(proven + 1.0 / limit, ahead))
    }

    private fun timeCap(now: Duration): Double {
        if (!isAnsweredSinceCold) return coldSlots.toDouble()
        if (!rampByTime || spec.coldStartMs <= 0) return slots.toDouble()
        val share = (now - rampStart) / spec.coldStartMs.milliseconds
        return coldSlots + (slots - coldSlots) * share.coerceIn(0.0, 1.0)
    }

    private fun rampTimeFor(limit: Double): Duration {
        if (slots == coldSlots) return spec.coldStartMs.milliseconds
        return spec.coldStartMs.milliseconds * ((limit - coldSlots) / (slots - coldSlots)).coerceIn(0.0, 1.0)
    }

    private companion object {
        const val ERRORS_FOR_COLD = 3
        const val OVERLOAD_FACTOR = 0.5
        const val STALL_RATIO = 5.0
        const val MIN_STALLED = 2
        val STALL_FLOOR = 100.milliseconds
    }
}

/** The first answers after a cut for latency, given at the lowest concurrency. */
private class ColdTrial(private val ratioBefore: Double) {
    private var sum = 0.0
    private var count = 0

    val complete: Boolean get() = count >= TRIAL_ANSWERS
    val mean: Double get() = sum / count

    /** Whether latency did not fall with concurrency. */
    val stillSlow: Boolean get() = mean > maxOf(HIGH_RATIO / 2, ratioBefore / 2)

    fun add(ratio: Double) {
        sum += ratio
        count++
    }

    private companion object {
        const val TRIAL_ANSWERS = 3
    }
}

/** The last few latencies in multiples of the usual one. */
private class RatioWindow {
    private val ratios = ArrayDeque<Double>()

    val mean: Double get() = ratios.average()

    fun add(ratio: Double) {
        ratios.addLast(ratio)
        if (ratios.size > MAX_RATIOS) ratios.removeFirst()
    }

    fun clear() = ratios.clear()

    fun isHigh(limit: Int): Boolean = ratios.size >= minOf(MAX_RATIOS, maxOf(MIN_RATIOS, limit)) && mean > HIGH_RATIO

    private companion object {
        const val MIN_RATIOS = 8
        const val MAX_RATIOS = 16
    }
}

private const val HIGH_RATIO = 3.0
