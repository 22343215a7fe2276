package kingcuptide.coordination.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks whether the target is reachable, from the results of connections alone, since health endpoints lag.
 *
 * After a refused connection one request at a time is tried, with exponential backoff. Lost connections count as one
 * crash of the target if no request that was in flight with them survives. Not thread-safe; guarded by the gate's lock.
 */
internal class TargetReachability {
    private val lostRequests = LinkedHashMap<Fingerprint, HomeRegions>()
    private var backoffUntil: Duration? = null
    private var backoff = FIRST_BACKOFF
    private var lastLossAt = Duration.ZERO

    /** Time of the first of the connection losses that may be one crash. */
    var firstLossAt = Duration.ZERO
        private set

    /** Whether the target is unreachable and the backoff has not yet ended. */
    fun isBackingOff(now: Duration): Boolean = backoffUntil?.let { now < it } ?: false

    /** Returns how many requests may be in flight: [limit] if reachable, else at most one, depending on [inFlight]. */
    fun limit(now: Duration, inFlight: Int, limit: Int): Int = when {
        backoffUntil == null -> limit
        isBackingOff(now) -> minOf(inFlight, 1)
        else -> 1
    }

    /** Records that a request is sent; if the target was unreachable, other requests wait for its result. */
    fun recordAttempt(now: Duration) {
        if (backoffUntil != null) backoffUntil = now + backoff
    }

    /** Records a refused connection. Removes and returns the requests lost just before it, by the same crash. */
    fun recordRefusal(now: Duration): Map<Fingerprint, HomeRegions> {
        backoff = if (backoffUntil == null) FIRST_BACKOFF else minOf(backoff * 2, MAX_BACKOFF)
        backoffUntil = now + backoff
        return pollLostRequests()
    }

    /** Records the loss of the connection that carried [request]. */
    fun recordLoss(request: AdmissionRequest, now: Duration) {
        if (lostRequests.isEmpty()) firstLossAt = now
        lastLossAt = now
        if (lostRequests.size < MAX_LOST_REQUESTS) lostRequests[request.fingerprint] = request.homeRegions
    }

    /** Records a response to a request that began at [startedAt]; losses since that time were not a crash. */
    fun recordResponse(startedAt: Duration) {
        markReachable()
        if (startedAt <= firstLossAt) lostRequests.clear()
    }

    /** Records that the target is reachable. */
    fun markReachable() {
        backoffUntil = null
        backoff = FIRST_BACKOFF
    }

    /** Removes and returns the lost requests, which were in flight when the target crashed. */
    fun pollLostRequests(): Map<Fingerprint, HomeRegions> = lostRequests.toMap().also { lostRequests.clear() }

    /** Drops losses that were not followed by a refused connection within [LOSS_LIFETIME]. */
    fun expireLosses(now: Duration) {
        if (now - lastLossAt > LOSS_LIFETIME) lostRequests.clear()
    }

    private companion object {
        const val MAX_LOST_REQUESTS = 256
        val FIRST_BACKOFF = 100.milliseconds
        val MAX_BACKOFF = 2.seconds
        val LOSS_LIFETIME = 1.seconds
    }
}
