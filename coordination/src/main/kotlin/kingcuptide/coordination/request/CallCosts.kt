package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId

/** Number of calls by [serviceKeyOf] that a run makes, the calls of its calls included. */
public typealias CallCounts = Map<Int, Int>

/** Returns the key of [service] in messages, which is shorter than its name and equal in all daemons. */
public fun serviceKeyOf(service: ServiceId): Int = service.value.hashCode()

/** Learns from responses how many calls the runs of a route make, to each service. Not thread-safe. */
public class CallCosts {
    private val meansByRoute = LinkedHashMap<RouteId, HashMap<Int, Double>>()

    /** Records that a run of [route] has made [calls]. */
    public fun record(route: RouteId, calls: CallCounts) {
        val known = meansByRoute.remove(route)
        val means = known ?: HashMap()
        val weight = if (known == null) 1.0 else SMOOTHING
        if (calls.size <= MAX_SERVICES) calls.keys.forEach { means.putIfAbsent(it, 0.0) }
        means.replaceAll { service, mean -> mean + ((calls[service] ?: 0) - mean) * weight }
        means.values.removeIf { it < NEGLIGIBLE }
        meansByRoute[route] = means
        if (meansByRoute.size > MAX_ROUTES) meansByRoute.remove(meansByRoute.keys.first())
    }

    /** Returns the mean number of calls of a run of [route] by service key, or null if no run is known. */
    public fun of(route: RouteId): Map<Int, Double>? = meansByRoute[route]

    public companion object {
        /** Greatest number of services that a run may call for its calls to be counted. */
        public const val MAX_SERVICES: Int = 16
        private const val SMOOTHING = 0.05
        private const val NEGLIGIBLE = 0.001
        private const val MAX_ROUTES = 256
    }
}
