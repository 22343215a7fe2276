package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Moving averages of the run time of requests and the length of responses, for each route. Not thread-safe. */
public class RouteAverages {
    private val runTimes = LinkedHashMap<RouteId, Duration>()
    private val responseBytes = LinkedHashMap<RouteId, Double>()

    /** Records the [runTime] of a request of [route]. */
    public fun recordRunTime(route: RouteId, runTime: Duration) {
        val average = runTimes.remove(route)
        runTimes[route] = if (average == null) runTime else average + (runTime - average) * SMOOTHING
        if (runTimes.size > MAX_ROUTES) runTimes.remove(runTimes.keys.first())
    }

    /** Returns the average run time of [route], or a third of [objective] while none is known; at least 1 ms. */
    public fun expectedRunTime(route: RouteId, objective: Duration): Duration =
        maxOf(runTimes[route] ?: (objective / 3), MIN_RUN_TIME)

    /** Records the length of a response of [route]. */
    public fun recordResponseBytes(route: RouteId, bytes: Int) {
        val average = responseBytes.remove(route) ?: bytes.toDouble()
        responseBytes[route] = average + (bytes - average) * SMOOTHING
        if (responseBytes.size > MAX_ROUTES) responseBytes.remove(responseBytes.keys.first())
    }

    /** Returns the average length of a response of [route] in bytes; a default while none is known. */
    public fun expectedResponseBytes(route: RouteId): Double = responseBytes[route] ?: DEFAULT_RESPONSE_BYTES

    private companion object {
        const val DEFAULT_RESPONSE_BYTES = 3_000.0

        const val SMOOTHING = 0.1

        /** Run times are whole milliseconds and serve as divisors, so 0 is avoided. */
        val MIN_RUN_TIME = 1.milliseconds

        /** Bound of the routes with an average; the least recently recorded one is dropped. */
        const val MAX_ROUTES = 1_000
    }
}
