package kingcuptide.coordination.version

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kotlin.time.Duration

/**
 * One accepted version of all routes and services, in the form that forwarding uses. Immutable.
 *
 * @property faults entries of the configuration that were left out, or read with a default value
 * @param unusable prefixes of routes that were left out; their requests match no route, since a route with a shorter prefix
 * may allow other regions or more than one run
 */
public class RoutingVersion(
    public val number: Long,
    routes: List<ForwardRoute>,
    public val services: Map<ServiceId, ServiceTraits>,
    public val callerLimits: CallerLimits,
    public val workspaces: Workspaces = Workspaces.NONE,
    public val faults: List<ConfigurationFault> = emptyList(),
    unusable: Set<RoutePrefix> = emptySet(),
) {
    private val routesByHost: Map<String, Map<String, ForwardRoute>> =
        routes.groupBy { it.host }.mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }

    private val unusableByHost: Map<String, Set<String>> =
        unusable.groupBy { it.host }.mapValues { (_, ofHost) -> ofHost.mapTo(HashSet()) { it.pathPrefix } }

    /** Number of routes. */
    public val routeCount: Int = routes.size

    /** The longest time for which a target may run a request of any route. */
    public val longestTimeout: Duration = routes.maxOfOrNull { it.timeout } ?: Duration.ZERO

    /** Returns the route of [host] with the longest prefix of [path], which has no query; or null. */
    public fun match(host: String, path: String): ForwardRoute? {
        val byPrefix = routesByHost[host] ?: return null
        val unusable = unusableByHost[host].orEmpty()
        var slash = path.lastIndexOf('/')
        while (slash >= 0) {
            val prefix = path.substring(0, slash + 1)
            byPrefix[prefix]?.let { return it }
            if (prefix in unusable) return null
            slash = if (slash == 0) -1 else path.lastIndexOf('/', slash - 1)
        }
        return null
    }
}

/**
 * Assigns the requests for [host] under [pathPrefix] to services.
 *
 * @property pathPrefix begins and ends with a slash
 * @property idempotent whether a request may run more than once
 * @property priority the lowest value is served first
 * @property timeout maximum time until the caller gets a response
 * @property objective time within which a response has its full value
 * @property maxTargets maximum number of targets to which one request may be sent
 * @property homeRegions the only regions that may serve it; empty means any region
 * @property allowsAnonymous whether a request needs no API key although the configuration has workspaces
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
    val allowsAnonymous: Boolean = false,
)

/** The requests for [host] under [pathPrefix]. */
public data class RoutePrefix(
    val host: String,
    val pathPrefix: String,
)

/** A fault in one [entry] of a configuration, which affects no other entry. */
public data class ConfigurationFault(
    val entry: String,
    val reason: String,
)

/** A service that gets a share of a route's requests in proportion to [weight]. */
public data class WeightedService(
    val service: ServiceId,
    val weight: Int,
)

/**
 * Properties of each target of a service.
 *
 * @property coldFor time for which a target stays cold after its start
 * @property coldPerSecond requests per second that a cold target can handle
 */
public data class ServiceTraits(
    val healthPath: String,
    val coldFor: Duration,
    val coldPerSecond: Double,
)

/** Limits on the size of requests in bytes, and on the time in which a caller must send them. */
public data class CallerLimits(
    val maxHeadBytes: Int,
    val maxBodyBytes: Long,
    val headTimeout: Duration,
    val idleTimeout: Duration,
)
