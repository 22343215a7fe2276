package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Moving averages of how long requests of each route run, and how long their answers are. Used from one thread. */
public class RunTimes {
    private val averages = LinkedHashMap<RouteId, Duration>()
    private val averageBytes = LinkedHashMap<RouteId, Double>()

    /** Records that a request of [route] ran for [took]. */
    public fun record(route: RouteId, took: Duration) {
        val held = averages.remove(route)
        averages[route] = if (held == null) took else held + (took - held) * SMOOTHING
        if (averages.size > MAX_ROUTES) averages.remove(averages.keys.first())
    }

    /** Returns the average of [route], or a third of [objective] while none is known. */
    public fun expected(route: RouteId, objective: Duration): Duration =
        maxOf(averages[route] ?: (objective / 3), SHORTEST)

    /** Records that an answer of [route] had [bytes]. */
    public fun recordBytes(route: RouteId, bytes: Int) {
        val held = averageBytes.remove(route) ?: bytes.toDouble()
        averageBytes[route] = held + (bytes - held) * SMOOTHING
        if (averageBytes.size > MAX_ROUTES) averageBytes.remove(averageBytes.keys.first())
    }

    /** Returns the average length of an answer of [route]; a usual one while none is known. */
    public fun expectedBytes(route: RouteId): Double = averageBytes[route] ?: USUAL_ANSWER_BYTES

    private companion object {
        /** Length of an answer of which nothing is known. */
        const val USUAL_ANSWER_BYTES = 3_000.0

        const val SMOOTHING = 0.1

        /** Run times come in whole milliseconds, and are divided by. */
        val SHORTEST = 1.milliseconds

        /** Routes whose average is kept; the one not recorded for longest goes first. */
        const val MAX_ROUTES = 1_000
    }
}
