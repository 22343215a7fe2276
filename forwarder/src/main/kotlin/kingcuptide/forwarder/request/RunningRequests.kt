package kingcuptide.forwarder.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.request.CallCosts
import kingcuptide.coordination.request.CallCounts
import kingcuptide.coordination.request.CallEvidence
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The requests that run, or may still run, at the target beside this daemon.
 *
 * The target makes calls while it runs them. The address of a call does not tell it from a request of a caller, since
 * callers are on the same host. Its id may continue that of the request that has made it, or be any other. Used on the
 * event loop.
 */
class RunningRequests(
    private val clock: Clock,
) {
    private val createdAt = clock.now()
    private val deadlineById = HashMap<String, Duration>()
    private val callsById = HashMap<String, HashMap<Int, Int>>()
    private val abandonedAt = LinkedHashMap<String, Duration>()
    private val idLengths = HashMap<Int, Int>()

    /** Latest deadline of the requests that were abandoned. */
    private var abandonedUntil = createdAt

    /** The target gets the request [id], which it runs until [deadline] at most. */
    fun started(id: String, deadline: Duration) {
        if (deadlineById.put(id, deadline) == null) idLengths.merge(id.length, 1, Int::plus)
    }

    /** The target has responded to the request [id]. */
    fun ended(id: String) {
        callsById.remove(id)
        if (deadlineById.remove(id) != null) forgetLength(id)
    }

    /** The daemon no longer waits for a response to [id], but the target may still run it and make calls. */
    fun abandoned(id: String) {
        callsById.remove(id)
        val deadline = deadlineById.remove(id) ?: return
        abandonedUntil = maxOf(abandonedUntil, deadline)
        abandonedAt.remove(id)?.let { forgetLength(id) }
        abandonedAt[id] = clock.now()
        forgetExpired()
    }

    /**
     * Returns what tells that the request [id] is a call of the target.
     *
     * The target may still run requests that it got from this daemon before a restart, for [longestRun] after it.
     */
    fun evidenceFor(id: String, longestRun: Duration): CallEvidence = when {
        isCallById(id) -> CallEvidence.ID
        mayRun(longestRun) -> CallEvidence.TARGET_MAY_RUN
        else -> CallEvidence.NONE
    }

    /** Returns whether [id] continues the id of a request that the target runs, or may still run. */
    fun isCallById(id: String): Boolean {
        forgetExpired()
        return callerById(id) { it in deadlineById || it in abandonedAt } != null
    }

    /**
     * Returns the running request that has made the call [id], or null if none runs.
     *
     * A call expires with the request that has made it. Where its id does not tell, the request whose deadline is the
     * closest to [callDeadline] counts as the one.
     */
    fun callerOf(id: String, callDeadline: Duration): String? =
        callerById(id, deadlineById::containsKey)
            ?: deadlineById.minByOrNull { (_, deadline) -> (deadline - callDeadline).absoluteValue }?.key

    /** Records the [calls] that the running request [id] has made, or that its calls have made in turn. */
    fun addCalls(id: String, calls: CallCounts) {
        if (id !in deadlineById) return
        val counts = callsById.getOrPut(id) { HashMap() }
        for ((service, count) in calls) {
            if (service in counts || counts.size < CallCosts.MAX_SERVICES) counts.merge(service, count, Int::plus)
        }
    }

    /** Returns the calls that the running request [id] has made so far. */
    fun callsOf(id: String): CallCounts = callsById[id].orEmpty()

    private fun mayRun(longestRun: Duration): Boolean =
        deadlineById.isNotEmpty() || clock.now() < maxOf(abandonedUntil, createdAt + longestRun)

    private inline fun callerById(id: String, isCaller: (String) -> Boolean): String? =
        idLengths.keys.firstNotNullOfOrNull { length ->
            if (length < id.length) id.substring(0, length).takeIf(isCaller) else null
        }

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
        /** Time for which the id of an abandoned request is kept. */
        val ABANDONED_LIFETIME = 10.seconds
        const val MAX_ABANDONED = 4_096
    }
}
