package kingcuptide.coordination.version

import kingcuptide.coordination.process.RouteId

/** Routes in a tree of path segments, built once per document; a lookup visits no more nodes than the path has. */
internal class RouteIndex private constructor(
    private val root: Node,
) {
    fun match(method: String, path: String): RouteMatch {
        val segments = segmentsOf(path) ?: return RouteMatch.UnknownRoute
        val nodes = nodesAlong(segments)
        for (node in nodes.asReversed()) {
            val indexed = node.routes.firstOrNull { it.allows(method) } ?: continue
            return indexed.found(method)
        }
        val allowed = nodes.flatMapTo(sortedSetOf()) { node -> node.routes.flatMap { it.route.methods } }
        return if (allowed.isEmpty()) RouteMatch.UnknownRoute else RouteMatch.MethodNotAllowed(allowed)
    }

    private fun nodesAlong(segments: List<String>): List<Node> {
        val nodes = ArrayList<Node>(segments.size + 1)
        var node: Node? = root
        var depth = 0
        while (node != null) {
            nodes += node
            node = if (depth < segments.size) node.children[segments[depth++]] else null
        }
        return nodes
    }

    private class Node {
        val children = HashMap<String, Node>()
        val routes = ArrayList<IndexedRoute>()
    }

    private class IndexedRoute(
        val id: RouteId,
        val route: RouteSpec,
        val service: ServiceSpec,
    ) {
        private val idempotent = RouteMatch.Found(id, route, service, idempotent = true)
        private val nonIdempotent = RouteMatch.Found(id, route, service, idempotent = false)

        fun allows(method: String): Boolean = route.methods.isEmpty() || method in route.methods

        fun found(method: String): RouteMatch.Found = if (isIdempotent(method)) idempotent else nonIdempotent

        /** The effects of a method in neither the document nor [WELL_KNOWN_METHODS] are unknown, so it runs once. */
        private fun isIdempotent(method: String): Boolean =
            method !in route.nonRepeatableMethods && (method in WELL_KNOWN_METHODS || method in route.methods)
    }

    companion object {
        private val WELL_KNOWN_METHODS = setOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")

        /** Builds the index of [document], whose references must be valid. */
        fun of(document: ConfigDocument): RouteIndex {
            val root = Node()
            for ((id, route) in document.routes) {
                val segments = checkNotNull(segmentsOf(route.pathPrefix)) { "route $id has an ambiguous prefix" }
                val node = segments.fold(root) { parent, segment -> parent.children.getOrPut(segment) { Node() } }
                node.routes += IndexedRoute(id, route, document.services.getValue(route.service))
            }
            return RouteIndex(root)
        }
    }
}
