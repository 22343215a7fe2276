package kingcuptide.coordination.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Whether the target can be reached, judged by connections alone: health endpoints lag.
 *
 * After a refused connection one request at a time tries again, at growing intervals. Lost connections are one death of
 * the target if no request that was in flight with them survives. Not thread-safe; guarded by the gate.
 */
internal class TargetConnection {
    private val victims = LinkedHashMap<Fingerprint, HomeRegions>()
    private var downUntil: Duration? = null
    private var backoff = FIRST_BACKOFF
    private var lastLossAt = Duration.ZERO

    /** When the first of the connections lost together was lost. */
    var firstLossAt = Duration.ZERO
        private set

    /** Whether the target is out of reach and it is too early to try again. */
    fun isDown(now: Duration): Boolean = downUntil?.let { now < it } ?: false

    /** Returns how many may be at the target that has [inFlight] now and otherwise bears [limit]. */
    fun limit(now: Duration, inFlight: Int, limit: Int): Int = when {
        downUntil == null -> limit
        isDown(now) -> minOf(inFlight, 1)
        else -> 1
    }

    /** A request is on its way; if the target was out of reach, the others wait for what comes of it. */
    fun tried(now: Duration) {
        if (downUntil != null) downUntil = now + backoff
    }

    /** Records a refused connection and returns what the target died with, if it had lost connections just before. */
    fun refused(now: Duration): Map<Fingerprint, HomeRegions> {
        backoff = if (downUntil == null) FIRST_BACKOFF else minOf(backoff * 2, MAX_BACKOFF)
        downUntil = now + backoff
        return died()
    }

    /** Records the lost connection of [request]. */
    fun lost(request: AdmissionRequest, now: Duration) {
        if (victims.isEmpty()) firstLossAt = now
        lastLossAt = now
        if (victims.size < MAX_VICTIMS) victims[request.fingerprint] = request.homeRegions
    }

    /** Records an answer to a request that began at [startedAt]: the target lives, so earlier losses were no death. */
    fun answered(startedAt: Duration) {
        reachable()
        if (startedAt <= firstLossAt) victims.clear()
    }

    /** The target can be reached. */
    fun reachable() {
        downUntil = null
        backoff = FIRST_BACKOFF
    }

    /** Returns what the target died with, and forgets it. */
    fun died(): Map<Fingerprint, HomeRegions> = victims.toMap().also { victims.clear() }

    /** Forgets losses that no refused connection confirmed in time. */
    fun forgetOld(now: Duration) {
        if (now - lastLossAt > LOSS_MEMORY) victims.clear()
    }

    private companion object {
        const val MAX_VICTIMS = 256
        val FIRST_BACKOFF = 100.milliseconds
        val MAX_BACKOFF = 2.seconds
        val LOSS_MEMORY = 1.seconds
    }
}
