package kingcuptide.coordination.version

import kingcuptide.coordination.process.RouteId

/** What a snapshot says of a method and path. */
public sealed interface RouteMatch {
    /**
     * The request belongs to [route].
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

    /** Routes have a prefix of the path, but none of them for this method; [allowed] lists theirs. */
    public data class MethodNotAllowed(
        val allowed: Set<String>,
    ) : RouteMatch
}
