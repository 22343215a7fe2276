package kingcuptide.coordination.version

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration

/**
 * Detects pauses of this process, after which its known state may be outdated.
 *
 * [isValid] is thread-safe and reads the clock, so that it is false immediately after a pause, before the next step has
 * run. The other functions belong to the coroutine that drives the distribution.
 */
internal class PauseLease(
    private val clock: Clock,
    private val settings: VersionSettings,
) {
    @Volatile
    private var renewedAt: Duration = clock.now()

    /** Time at which the pause was detected from which this process is recovering, or null. */
    @Volatile
    var recoveringSince: Duration? = null
        private set

    /** Whether new requests may be accepted. */
    fun isValid(): Boolean = clock.now() - renewedAt <= settings.pauseThreshold && recoveringSince == null

    /** Renews the lease; returns whether the process was paused since the last renewal. */
    fun renew(): Boolean {
        val now = clock.now()
        val wasPaused = now - renewedAt > settings.pauseThreshold
        if (wasPaused) recoveringSince = now
        renewedAt = now
        return wasPaused
    }

    /** Ends the recovery from a pause. */
    fun endRecovery() {
        recoveringSince = null
    }
}
