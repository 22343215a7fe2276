package kingcuptide.forwarder.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Access
import kingcuptide.coordination.request.AccessDecision
import kingcuptide.coordination.request.homeRegionsOf
import kingcuptide.coordination.version.ForwardRoute
import kingcuptide.coordination.version.Workspace
import kingcuptide.forwarder.connection.CallerRequest
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.endToEnd
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.HeaderNames
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Matches the route of a request and decides by its API key whether it is served. Needs only the head of the request. */
internal class EntryAccess(
    private val names: HeaderNames,
    private val dependencies: EntryDependencies,
) {
    private val decision = AccessDecision(dependencies.revocation, dependencies.keyKnowledge)

    fun admit(request: CallerRequest): Admission {
        val routing =
            dependencies.published.routing
                ?: return Admission.Refused(ResultCode.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_AFTER)
        val requestId = request.headers.first(names.requestId)
        if (requestId.isNullOrEmpty()) return Admission.Refused(ResultCode.MALFORMED_REQUEST)
        val route = routeOf(request) ?: return Admission.Refused(ResultCode.UNKNOWN_ROUTE)
        val evidence = dependencies.running.evidenceFor(requestId, routing.longestTimeout)
        val authorization =
            request.headers.filter { it.first.equals(names.authorization, ignoreCase = true) }.map { it.second }
        return when (val access = decision.accessTo(route, routing.workspaces, authorization, evidence)) {
            is Access.Granted ->
                Admission.Granted(
                    requestId,
                    route,
                    access.workspace,
                    access.isCall,
                    routing.workspaces.requireKey,
                )
            is Access.Refused ->
                Admission.Refused(access.code, retryAfter(access.code), access, route, routing.workspaces.scheme)
        }
    }

    /** Returns the route that [request] matches now, or null. */
    fun routeOf(request: CallerRequest): ForwardRoute? {
        val host = request.headers.first("Host").orEmpty().substringBefore(':').lowercase(Locale.ROOT)
        return dependencies.published.routing?.match(host, request.path)
    }

    private fun retryAfter(code: ResultCode): Duration =
        if (code == ResultCode.NO_TARGET) NO_REGION_RETRY_AFTER else UNCONFIRMED_RETRY_AFTER

    /** Returns the headers of an admitted request that its target gets: no API key, and the workspace from here alone. */
    fun forwardedHeaders(headers: Headers, admission: Admission.Granted): Headers {
        val dropped = hashSetOf(names.remainingMs, names.callerService, names.expectedTarget)
        if (admission.hidesKeys) dropped += listOf(names.authorization, names.workspace)
        val lowerCase = dropped.mapTo(HashSet()) { it.lowercase(Locale.ROOT) }
        val kept = endToEnd(headers).filterTo(ArrayList()) { it.first.lowercase(Locale.ROOT) !in lowerCase }
        kept += names.callerService to dependencies.service().value
        admission.workspace?.let { kept += names.workspace to it.name }
        return kept
    }

    private companion object {
        val NO_CONFIGURATION_RETRY_AFTER = 500.milliseconds

        /** A confirmation follows the first contact with a peer or the source, usually within one ping interval. */
        val UNCONFIRMED_RETRY_AFTER = 500.milliseconds

        /** Only another configuration can help. */
        val NO_REGION_RETRY_AFTER = 5.seconds
    }
}

/** Whether a request is served, as far as its head tells. */
internal sealed interface Admission {
    /**
     * It is served on [route], for [workspace] if it has the key of one.
     *
     * @property isCall whether the target beside this daemon has made it while it ran a request
     * @property hidesKeys whether the configuration has workspaces, so that no target may get a key
     */
    class Granted(
        val requestId: String,
        val route: ForwardRoute,
        val workspace: Workspace?,
        val isCall: Boolean,
        val hidesKeys: Boolean,
    ) : Admission {
        /** Empty means any region. */
        val homeRegions = checkNotNull(homeRegionsOf(route, workspace)) { "no region for $route" }
    }

    /** It is refused, because of its key if there is [access]; [scheme] is then the authentication scheme needed. */
    class Refused(
        val code: ResultCode,
        val retryAfter: Duration? = null,
        val access: Access.Refused? = null,
        val route: ForwardRoute? = null,
        val scheme: String? = null,
    ) : Admission
}
