package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kotlin.time.Duration

/**
 * Estimates how long a caller has already waited when its request arrives.
 *
 * A caller that retries sends what is left of the deadline with which it started. Callers of a route start with about
 * the same one, the longest that is usual; a request with much less is taken for a retry. Not thread-safe.
 */
public class CallerWaits {
    private val usualByRoute = LinkedHashMap<RouteId, Duration>()

    /** Records a request of [route] whose caller will wait for [remaining]; returns how long it has already waited. */
    public fun record(route: RouteId, remaining: Duration): Duration {
        val usual = usualByRoute.remove(route) ?: remaining
        val step = if (remaining > usual) RISE else FALL
        usualByRoute[route] = usual + (remaining - usual).coerceIn(-usual * step, usual * step)
        if (usualByRoute.size > MAX_ROUTES) usualByRoute.remove(usualByRoute.keys.first())
        val waited = usual - remaining
        return if (waited > usual * SPREAD) waited else Duration.ZERO
    }

    private companion object {
        /** Shares by which a longer and a shorter deadline move the usual one: it settles where one in 21 is longer. */
        const val RISE = 0.02
        const val FALL = 0.001

        /** Share of the usual deadline by which those of first attempts may be shorter. */
        const val SPREAD = 0.2

        /** Bound of the routes that are remembered; the least recently used one is dropped. */
        const val MAX_ROUTES = 1_000
    }
}
