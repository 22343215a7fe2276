package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.ForwardRoute

/** Deals a route's requests to its services in proportion to their weights, evenly spread. Used from one thread. */
public class WeightedRoundRobin {
    private val turns = LinkedHashMap<RouteId, Turn>()

    /** Returns the service whose turn it is. */
    public fun next(route: ForwardRoute): ServiceId {
        if (route.destinations.size == 1) return route.destinations[0].service
        val held = turns[route.id]
        val turn = if (held != null && held.route.destinations == route.destinations) held else Turn(route)
        turns[route.id] = turn
        if (turns.size > MAX_ROUTES) turns.remove(turns.keys.first())
        return turn.next()
    }

    private class Turn(val route: ForwardRoute) {
        private val credit = IntArray(route.destinations.size)
        private val total = route.destinations.sumOf { it.weight }

        fun next(): ServiceId {
            for (index in credit.indices) credit[index] += route.destinations[index].weight
            val richest = credit.indices.maxBy { credit[it] }
            credit[richest] -= total
            return route.destinations[richest].service
        }
    }

    private companion object {
        const val MAX_ROUTES = 1_000
    }
}
