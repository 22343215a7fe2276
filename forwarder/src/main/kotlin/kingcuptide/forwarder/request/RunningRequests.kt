package kingcuptide.forwarder.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.CallCosts
import kingcuptide.coordination.request.CallCounts
import kingcuptide.coordination.request.serviceKeyOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Ids of the requests that run, or may still run, at the target beside this daemon.
 *
 * A call that the target makes while it runs a request bears an id that begins with that of the request. Its address
 * does not tell it from a request of a caller, since callers are on the same host. Used on the event loop.
 */
class RunningRequests(
    private val clock: Clock,
) {
    private val ids = HashSet<String>()
    private val callsById = HashMap<String, HashMap<Int, Int>>()
    private val abandonedAt = LinkedHashMap<String, Duration>()
    private val idLengths = HashMap<Int, Int>()

    fun started(id: String) {
        if (ids.add(id)) idLengths.merge(id.length, 1, Int::plus)
    }

    /** The target has responded to the request [id]. */
    fun ended(id: String) {
        callsById.remove(id)
        if (ids.remove(id)) forgetLength(id)
    }

    /** The daemon no longer waits for a response to [id], but the target may still run it and make calls. */
    fun abandoned(id: String) {
        callsById.remove(id)
        if (!ids.remove(id)) return
        abandonedAt.remove(id)?.let { forgetLength(id) }
        abandonedAt[id] = clock.now()
        forgetExpired()
    }

    /** Returns whether a request that the target runs, or may still run, has made the call [id]. */
    fun hasMade(id: String): Boolean {
        forgetExpired()
        return callerOf(id, ::isKnown) != null
    }

    /** Records the call [id] to [service], if the request that has made it is running. */
    fun called(id: String, service: ServiceId) = addCalls(id, mapOf(serviceKeyOf(service) to 1))

    /** Records the [calls] that the call [id] has made in turn. */
    fun addCalls(id: String, calls: CallCounts) {
        val caller = callerOf(id, ids::contains) ?: return
        val counts = callsById.getOrPut(caller) { HashMap() }
        for ((service, count) in calls) {
            if (service in counts || counts.size < CallCosts.MAX_SERVICES) counts.merge(service, count, Int::plus)
        }
    }

    /** Returns the calls that the running request [id] has made so far. */
    fun callsOf(id: String): CallCounts = callsById[id].orEmpty()

    private inline fun callerOf(id: String, isCaller: (String) -> Boolean): String? =
        idLengths.keys.firstNotNullOfOrNull { length ->
            if (length < id.length) id.substring(0, length).takeIf(isCaller) else null
        }

    private fun isKnown(id: String) = id in ids || id in abandonedAt

    private fun forgetExpired() {
        val now = clock.now()
        while (abandonedAt.isNotEmpty()) {
            val (id, at) = abandonedAt.entries.first()
            if (abandonedAt.size <= MAX_ABANDONED && now - at < ABANDONED_LIFETIME) return
            abandonedAt.remove(id)
            forgetLength(id)
        }
    }

    private fun forgetLength(id: String) {
        idLengths.computeIfPresent(id.length) { _, count -> if (count == 1) null else count - 1 }
    }

    private companion object {
        /** Longest time for which a target runs a request after its connection has closed. */
        val ABANDONED_LIFETIME = 10.seconds
        const val MAX_ABANDONED = 4_096
    }
}
