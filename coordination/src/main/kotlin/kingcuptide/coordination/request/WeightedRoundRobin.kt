package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.ForwardRoute

/** Smooth weighted round robin over the services of each route. Not thread-safe. */
public class WeightedRoundRobin {
    private val schedules = LinkedHashMap<RouteId, Schedule>()

    /** Returns the service for the next request of [route]. */
    public fun next(route: ForwardRoute): ServiceId {
        if (route.destinations.size == 1) return route.destinations[0].service
        val old = schedules[route.id]
        val schedule = if (old != null && old.route.destinations == route.destinations) old else Schedule(route)
        schedules[route.id] = schedule
        if (schedules.size > MAX_ROUTES) schedules.remove(schedules.keys.first())
        return schedule.next()
    }

    private class Schedule(val route: ForwardRoute) {
        private val credit = IntArray(route.destinations.size)
        private val totalWeight = route.destinations.sumOf { it.weight }

        fun next(): ServiceId {
            for (index in credit.indices) credit[index] += route.destinations[index].weight
            val selected = credit.indices.maxBy { credit[it] }
            credit[selected] -= totalWeight
            return route.destinations[selected].service
        }
    }

    private companion object {
        const val MAX_ROUTES = 1_000
    }
}
