package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kotlin.time.Duration

/** Moving averages of how long requests of each route run. Used from one thread. */
public class RunTimes {
    private val averages = LinkedHashMap<RouteId, Duration>()

    /** Records that a request of [route] ran for [took]. */
    public fun record(route: RouteId, took: Duration) {
        val held = averages.remove(route)
        averages[route] = if (held == null) took else held + (took - held) * SMOOTHING
        if (averages.size > MAX_ROUTES) averages.remove(averages.keys.first())
    }

    /** Returns the average of [route], or a third of [objective] while none is known. */
    public fun expected(route: RouteId, objective: Duration): Duration = averages[route] ?: (objective / 3)

    private companion object {
        const val SMOOTHING = 0.1

        /** Routes whose average is kept; the one not recorded for longest goes first. */
        const val MAX_ROUTES = 1_000
    }
}
