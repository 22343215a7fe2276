package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Run times of a target by the key of their route; see [routeKeyOf]. */
public typealias RunTimes = Map<Int, Duration>

/** Returns the key of [route] in load reports, which is shorter than its name. Equal in all daemons. */
public fun routeKeyOf(route: RouteId): Int = route.value.hashCode()

/** Returns whether [runTimes] of another daemon may be used. */
public fun areInRange(runTimes: RunTimes): Boolean =
    runTimes.size <= TargetSpeed.MAX_REPORTED_ROUTES &&
        runTimes.values.all { it > Duration.ZERO && it <= TargetSpeed.MAX_RUN_TIME }

/**
 * Measures the run times of the target beside this daemon by route, for comparison with those of other targets.
 *
 * The run time of a route is the product of a shape, which changes slowly and holds the differences between routes, and
 * of a level, which holds the speed of the target. So a change of the mix of routes does not change the level. The level
 * is the median of the last periods of half a second: a slow period under a second does not change it. Run times count
 * from the start at the target, without the time in the queue of the gate. Not thread-safe.
 */
internal class TargetSpeed {
    private class Shape(var value: Double) {
        var count = 1
    }

    private val shapes = LinkedHashMap<RouteId, Shape>()
    private val periods = ArrayDeque<Double>()
    private var periodStart = -Duration.INFINITE
    private var periodSum = 0.0
    private var periodCount = 0
    private var level = 0.0
    private var lastUsualAt = -Duration.INFINITE
    private var slowSum = 0.0
    private var slowCount = 0
    private var told: RunTimes = emptyMap()
    private var reported: RunTimes = emptyMap()

    /** Run times of at most [MAX_REPORTED_ROUTES] routes; those that were told until enough are measured. */
    val runTimes: RunTimes get() = reported.ifEmpty { told }

    /** Records that a request of [route] took [runTime] at the target. */
    fun record(route: RouteId, runTime: Duration, now: Duration) {
        val millis = maxOf(runTime, MIN_RUN_TIME).inWholeMicroseconds / MICROS_PER_MILLI
        val scaled = millis / shapeOf(route, millis)
        if (level == 0.0) level = scaled
        if (periodStart < now - MAX_PERIOD) startPeriod(now)
        periodSum += scaled
        periodCount++
        recordSlow(scaled, now)
        if (now - periodStart >= PERIOD && periodCount >= MIN_PERIOD_COUNT) endPeriod(now)
    }

    /** An entry knows [runTimes] that this daemon reported before its restart; own measurements take precedence. */
    fun told(runTimes: RunTimes) {
        if (told.isEmpty() && areInRange(runTimes)) told = runTimes
    }

    /** Another target responds: nothing is known of its speed. */
    fun reset() {
        shapes.clear()
        periods.clear()
        level = 0.0
        told = emptyMap()
        reported = emptyMap()
        lastUsualAt = -Duration.INFINITE
        startPeriod(-Duration.INFINITE)
    }

    private fun shapeOf(route: RouteId, millis: Double): Double {
        val known = shapes.remove(route)
        val shape = known ?: Shape(if (level > 0) millis / level else millis)
        shapes[route] = shape
        if (shapes.size > MAX_ROUTES) shapes.remove(shapes.keys.first())
        val value = shape.value
        if (known != null) {
            shape.count++
            val relative = (millis / value / level).coerceIn(MIN_SHAPE_STEP, MAX_SHAPE_STEP)
            shape.value *= 1 + (relative - 1) / minOf(shape.count, SHAPE_SAMPLES)
        }
        return value
    }

    /** A target that is much slower than usual for longer than a slow period lasts gets its new level at once. */
    private fun recordSlow(scaled: Double, now: Duration) {
        if (scaled < level * SLOW_RATIO || lastUsualAt == -Duration.INFINITE) {
            lastUsualAt = now
            slowSum = 0.0
            slowCount = 0
            return
        }
        slowSum += scaled
        slowCount++
        if (now - lastUsualAt < MAX_SLOW_PERIOD || slowCount < MIN_PERIOD_COUNT) return
        level = slowSum / slowCount
        periods.clear()
        startPeriod(now)
        lastUsualAt = now
        report()
    }

    private fun startPeriod(now: Duration) {
        periodStart = now
        periodSum = 0.0
        periodCount = 0
    }

    private fun endPeriod(now: Duration) {
        periods += periodSum / periodCount
        if (periods.size > PERIODS) periods.removeFirst()
        startPeriod(now)
        val median = periods.sorted()[periods.size / 2]
        val ratio = median / level
        val isChange = ratio > SLOW_RATIO || ratio < 1 / SLOW_RATIO || periods.size < PERIODS
        level = if (isChange) median else level + (median - level) * LEVEL_SMOOTHING
        if (periods.size >= MIN_PERIODS || reported.isNotEmpty()) report()
    }

    /** Reports the routes with the lowest keys, so that different gates report the same ones. */
    private fun report() {
        reported = shapes.entries.filter { it.value.count >= MIN_ROUTE_COUNT }
            .sortedBy { routeKeyOf(it.key) }
            .take(MAX_REPORTED_ROUTES)
            .associate {
                routeKeyOf(it.key) to
                    (it.value.value * level).milliseconds.coerceIn(MIN_RUN_TIME, MAX_RUN_TIME)
            }
    }

    companion object {
        /** Greatest number of routes in a report, which is sent with each response. */
        const val MAX_REPORTED_ROUTES = 4
        val MAX_RUN_TIME = 600_000.milliseconds

        /** Run times are measured in milliseconds; 0 has no ratio to others. */
        private val MIN_RUN_TIME = 0.5.milliseconds
        private const val MICROS_PER_MILLI = 1_000.0
        private const val MAX_ROUTES = 200

        /** Seven periods of 0.5 s: a slow period of 0.6 s touches at most three, which is less than half. */
        private val PERIOD = 500.milliseconds
        private const val PERIODS = 7
        private const val MIN_PERIODS = 3
        private const val MIN_PERIOD_COUNT = 4

        /** A period without enough requests for this time is dropped. */
        private val MAX_PERIOD = 10_000.milliseconds
        private const val LEVEL_SMOOTHING = 0.2

        /** Time without a request of usual duration after which the target is slow: 0.6 s plus a usual run. */
        private val MAX_SLOW_PERIOD = 700.milliseconds
        private const val SLOW_RATIO = 2.0
        private const val MIN_ROUTE_COUNT = 10
        private const val SHAPE_SAMPLES = 500
        private const val MIN_SHAPE_STEP = 0.5
        private const val MAX_SHAPE_STEP = 2.0
    }
}
