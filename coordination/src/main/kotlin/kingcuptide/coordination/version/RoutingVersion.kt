package kingcuptide.coordination.version

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kotlin.time.Duration

/** One accepted version of all routes and services, as forwarding needs it. Immutable; one swap puts it in force. */
public class RoutingVersion(
    public val number: Long,
    routes: List<ForwardRoute>,
    public val services: Map<ServiceId, ServiceTraits>,
    public val callerLimits: CallerLimits,
) {
    private val routesByHost: Map<String, Map<String, ForwardRoute>> =
        routes.groupBy { it.host }.mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }

    /** Number of routes. */
    public val routeCount: Int = routes.size

    /** Returns the route of [host] whose prefix is the longest that begins [path], which bears no query; or null. */
    public fun match(host: String, path: String): ForwardRoute? {
        val byPrefix = routesByHost[host] ?: return null
        var slash = path.lastIndexOf('/')
        while (slash >= 0) {
            byPrefix[path.substring(0, slash + 1)]?.let { return it }
            slash = if (slash == 0) -1 else path.lastIndexOf('/', slash - 1)
        }
        return null
    }
}

/**
 * Which requests go to which services.
 *
 * @property pathPrefix begins and ends with a slash
 * @property idempotent whether a request may run more than once
 * @property priority urgency; 0 is the most urgent
 * @property timeout longest time that a caller is kept waiting
 * @property objective time within which an answer has its full worth
 * @property maxTargets greatest number of targets to which one request may be sent
 * @property homeRegions the only regions that may serve it; empty: any
 */
public data class ForwardRoute(
    val id: RouteId,
    val host: String,
    val pathPrefix: String,
    val idempotent: Boolean,
    val priority: Int,
    val timeout: Duration,
    val objective: Duration,
    val maxTargets: Int,
    val destinations: List<WeightedService>,
    val homeRegions: Set<RegionId>,
)

/** One part of a route's requests. */
public data class WeightedService(
    val service: ServiceId,
    val weight: Int,
)

/**
 * What holds for each target of a service.
 *
 * @property coldFor how long a target stays cold after its start
 * @property coldPerSecond requests a second that a cold target bears
 */
public data class ServiceTraits(
    val healthPath: String,
    val coldFor: Duration,
    val coldPerSecond: Double,
)

/** What a caller may send, and how long it may take. */
public data class CallerLimits(
    val maxHeadBytes: Int,
    val maxBodyBytes: Long,
    val headTimeout: Duration,
    val idleTimeout: Duration,
)
