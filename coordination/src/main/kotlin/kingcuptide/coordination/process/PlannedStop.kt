package kingcuptide.coordination.process

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides which requests a stopping daemon still accepts and when it may exit: once all requests are answered, but not
 * before readiness checks have seen that it is leaving, and never after its limit. Use from one thread.
 */
public class PlannedStop(
    private val clock: Clock,
) {
    private var begunAt: Duration? = null
    private var endsAt: Duration = Duration.INFINITE

    /** Whether the stop has begun. */
    public val isStopping: Boolean get() = begunAt != null

    /**
     * Whether the target beside this daemon still gets requests. Readiness checks take most of a stop anyway, and a
     * restart of many daemons in turn would leave several targets idle for that time.
     */
    public val servesTarget: Boolean get() = begunAt.let { it == null || clock.now() - it < TARGET_USE_AFTER_STOP }

    /** Begins the stop of a daemon that will be killed after [limit]; returns false if it had already begun. */
    public fun begin(limit: Duration): Boolean {
        if (isStopping) return false
        val now = clock.now()
        begunAt = now
        endsAt = now + maxStopDuration(limit)
        return true
    }

    /** Returns whether a request received at [receivedAt] came too late to complete and must be refused. */
    public fun isTooLate(receivedAt: Duration): Boolean {
        val since = begunAt ?: return false
        return receivedAt - since > ACCEPT_AFTER_STOP
    }

    /**
     * Returns by when a request must be answered whose caller waits until [deadline]. A target that knows this time ends
     * the work itself, and one that can't work so fast is not asked.
     */
    public fun responseBy(deadline: Duration): Duration = minOf(deadline, endsAt - RESPONSE_TRANSFER_TIME)

    /** Returns whether the daemon may exit now; [isIdle] means that every accepted request is answered. */
    public fun isOver(isIdle: Boolean): Boolean {
        val since = begunAt ?: return false
        val now = clock.now()
        return now >= endsAt || (isIdle && now - since >= READINESS_NOTICE)
    }

    public companion object {
        /** Time for callers to see that the daemon is not ready: two readiness checks, one second apart. */
        public val READINESS_NOTICE: Duration = 2_500.milliseconds

        /** Time after the stop begins in which requests are accepted: callers may know of no other daemon. */
        public val ACCEPT_AFTER_STOP: Duration = 3_000.milliseconds

        /** Time after the stop begins in which the target gets requests; most of these end before [READINESS_NOTICE]. */
        public val TARGET_USE_AFTER_STOP: Duration = 1_500.milliseconds

        /** Time for the response of a target that ends a request at its deadline to reach the caller. */
        private val RESPONSE_TRANSFER_TIME = 200.milliseconds

        /** Share of the limit kept in reserve; a target still working in the last sixth of the limit is excused. */
        private const val RESERVED_SHARE = 2.0 / 15

        /** Returns the time from the start of the stop to the exit of a daemon that never becomes idle. */
        public fun maxStopDuration(limit: Duration): Duration = limit * (1 - RESERVED_SHARE)
    }
}
