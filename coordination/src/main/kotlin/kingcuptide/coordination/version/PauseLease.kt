package kingcuptide.coordination.version

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration

/**
 * Tells whether this process has run without a pause, so that what it believes is still recent.
 *
 * [isAwake] is thread-safe and reads the clock, so that it is false from the first moment after a pause, before any
 * step has run. The other functions belong to the coroutine that drives the distribution.
 */
internal class PauseLease(
    private val clock: Clock,
    private val settings: VersionSettings,
) {
    @Volatile
    private var steppedAt: Duration = clock.now()

    /** When the pause that is being recovered from was found, or null. */
    @Volatile
    var pausedSince: Duration? = null
        private set

    /** Whether new work may be taken. */
    fun isAwake(): Boolean = clock.now() - steppedAt <= settings.pauseBound && pausedSince == null

    /** Marks a step of this process; returns whether a pause came before it. */
    fun step(): Boolean {
        val now = clock.now()
        val isPause = now - steppedAt > settings.pauseBound
        if (isPause) pausedSince = now
        steppedAt = now
        return isPause
    }

    /** Ends the recovery. */
    fun recovered() {
        pausedSince = null
    }
}
