package kingcuptide.coordination.version

import kingcuptide.coordination.process.RouteId

/** Result of looking up a method and path in a [Snapshot]. */
public sealed interface RouteMatch {
    /**
     * The request matches [route].
     *
     * @property idempotent whether the request may run more than once
     */
    public data class Found(
        val routeId: RouteId,
        val route: RouteSpec,
        val service: ServiceSpec,
        val idempotent: Boolean,
    ) : RouteMatch

    /** No route has a prefix of the path, or the path is ambiguous. */
    public data object UnknownRoute : RouteMatch

    /** Routes have a prefix of the path, but none allows the method; [allowed] lists their methods. */
    public data class MethodNotAllowed(
        val allowed: Set<String>,
    ) : RouteMatch
}
