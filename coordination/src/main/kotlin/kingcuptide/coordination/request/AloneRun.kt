package kingcuptide.coordination.request

import kotlin.time.Duration

/**
 * The one suspect request that has, or waits to have, the target for itself.
 *
 * Others wait meanwhile, so the share of time that suspects take is bounded. Not thread-safe; guarded by the gate.
 */
internal class AloneRun<T : Any>(
    private val settings: GateSettings,
) {
    private var waiting: T? = null
    private var claimedAt: Duration? = null
    private var freeFrom = Duration.ZERO

    /** Whether a suspect request waits or runs, so that nothing else may start. */
    val isClaimed: Boolean get() = claimedAt != null

    /** Claims the target for [request], or returns false if another has it or the share of time is used up. */
    fun reserve(request: T, now: Duration): Boolean {
        if (isClaimed || now < freeFrom) return false
        claimedAt = now
        waiting = request
        return true
    }

    /** Returns the waiting request for its start. */
    fun takeWaiting(): T? = waiting.also { waiting = null }

    /** Gives up and returns the waiting request if it has waited too long. */
    fun takeLate(now: Duration): T? {
        val since = claimedAt ?: return null
        if (waiting == null || now - since <= settings.maxAloneWait) return null
        return takeWaiting().also { ended(now) }
    }

    fun cancel(request: T): Boolean {
        if (waiting !== request) return false
        waiting = null
        claimedAt = null
        return true
    }

    /** Ends the claim; the next one must leave time to the others. */
    fun ended(now: Duration) {
        val since = claimedAt ?: return
        waiting = null
        claimedAt = null
        val share = settings.aloneSharePercent.coerceIn(1, 100)
        freeFrom = now + (now - since) * ((100.0 - share) / share)
    }
}
