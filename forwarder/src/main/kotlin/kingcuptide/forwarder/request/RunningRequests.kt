package kingcuptide.forwarder.request

/**
 * Ids of the requests that run at the target beside this daemon.
 *
 * A call that the target makes while it runs a request bears an id that begins with that of the request. Its address
 * does not tell it from a request of a caller, since callers are on the same host. Used on the event loop.
 */
class RunningRequests {
    private val ids = HashSet<String>()

    fun started(id: String) {
        ids += id
    }

    fun ended(id: String) {
        ids -= id
    }

    /** Returns whether a running request of the target has made the call [id]. */
    fun hasMade(id: String): Boolean = ids.any { id.length > it.length && id.startsWith(it) }
}
