package kingcuptide.coordination.process

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides what a daemon that was told to stop still takes, and when it ends: once all is answered, but not before those
 * who ask for its readiness have seen that it leaves, and never later than its limit. Used from one thread.
 */
public class PlannedStop(
    private val clock: Clock,
) {
    private var begunAt: Duration? = null
    private var endsAt: Duration = Duration.INFINITE

    /** Whether the daemon was told to stop. */
    public val isStopping: Boolean get() = begunAt != null

    /** The daemon is told to stop and will be ended from outside after [limit]; false if it was told before. */
    public fun begin(limit: Duration): Boolean {
        if (isStopping) return false
        val now = clock.now()
        begunAt = now
        endsAt = now + maxStopDuration(limit)
        return true
    }

    /** Whether a request that came at [receivedAt] could not be ended any more and must be refused. */
    public fun isTooLate(receivedAt: Duration): Boolean {
        val since = begunAt ?: return false
        return receivedAt - since > LAST_REQUESTS
    }

    /** Whether the daemon may end now; [isIdle] says that all it took is answered. */
    public fun isOver(isIdle: Boolean): Boolean {
        val since = begunAt ?: return false
        val now = clock.now()
        return now >= endsAt || (isIdle && now - since >= NOTICE)
    }

    public companion object {
        /** Time that callers need to see that the daemon is no longer ready: two questions, a second apart. */
        public val NOTICE: Duration = 2_500.milliseconds

        /** Time after the word to stop in which requests are still taken: callers may know of no other daemon. */
        public val LAST_REQUESTS: Duration = 3_000.milliseconds

        /** Part of the limit that is kept free: a target still at work in its last sixth is excused. */
        private const val SPARE_SHARE = 2.0 / 15

        /** Returns the time from the word to stop to the end of a daemon that never becomes idle. */
        public fun maxStopDuration(limit: Duration): Duration = limit * (1 - SPARE_SHARE)
    }
}
