package kingcuptide.coordination.request

import kotlin.time.Duration

/**
 * The reservation of the target for one suspect request, which runs without others in flight.
 *
 * Other requests wait meanwhile, so the share of time reserved for suspects is bounded. Not thread-safe; guarded by the
 * gate's lock.
 */
internal class ExclusiveRun<T : Any>(
    private val settings: GateSettings,
) {
    private var waiting: T? = null
    private var reservedAt: Duration? = null
    private var nextReservationAt = Duration.ZERO

    /** Whether a suspect request waits or runs, so that no other request may start. */
    val isReserved: Boolean get() = reservedAt != null

    /** Reserves the target for [request], or returns false if it is reserved or the share of time is used up. */
    fun reserve(request: T, now: Duration): Boolean {
        if (isReserved || now < nextReservationAt) return false
        reservedAt = now
        waiting = request
        return true
    }

    /** Removes and returns the waiting request, which is about to start; the reservation stays. */
    fun pollWaiting(): T? = waiting.also { waiting = null }

    /** Ends the reservation and returns its request if that has waited too long; otherwise returns null. */
    fun pollTimedOut(now: Duration): T? {
        val reservedSince = reservedAt ?: return null
        if (waiting == null || now - reservedSince <= settings.maxExclusiveWait) return null
        return pollWaiting().also { release(now) }
    }

    fun cancel(request: T): Boolean {
        if (waiting !== request) return false
        waiting = null
        reservedAt = null
        return true
    }

    /** Ends the reservation; the next one is delayed so that suspects stay within their share of time. */
    fun release(now: Duration) {
        val reservedSince = reservedAt ?: return
        waiting = null
        reservedAt = null
        val sharePercent = settings.maxExclusivePercent.coerceIn(1, 100)
        nextReservationAt = now + (now - reservedSince) * ((100.0 - sharePercent) / sharePercent)
    }
}
