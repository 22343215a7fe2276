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

    /** When the stop can have been requested at the earliest; the time until the kill counts from then. */
    private var requestedAt = Duration.ZERO
    private var endsAt = Duration.INFINITE
    private var responsesDueAt = Duration.INFINITE
    private var hasEnded = false

    /** Whether the stop has begun. */
    public val isStopping: Boolean get() = begunAt != null

    /**
     * Whether the target beside this daemon still gets requests. Readiness checks take most of a stop anyway, and a
     * restart of many daemons in turn would leave several targets idle for that time.
     */
    public val servesTarget: Boolean get() = begunAt.let { it == null || clock.now() - it < TARGET_USE_AFTER_STOP }

    /** Time until the daemon exits at the latest; infinite before the stop. */
    public val timeLeft: Duration get() = endsAt - clock.now()

    /**
     * Begins the stop of a daemon that will be killed [limit] after the request; returns false if it had already begun.
     *
     * @param noticedAt when the request was noticed
     * @param earliestRequestAt when it can have been made at the earliest; earlier if the process was held up
     */
    public fun begin(
        limit: Duration,
        noticedAt: Duration = clock.now(),
        earliestRequestAt: Duration = noticedAt,
    ): Boolean {
        if (isStopping) return false
        begunAt = clock.now()
        requestedAt = earliestRequestAt
        endsAt = minOf(noticedAt + limit * (1 - RESERVED_SHARE), earliestRequestAt + limit - EXIT_TIME)
        responsesDueAt = minOf(endsAt, maxOf(endsAt - RESPONSE_TRANSFER_TIME, noticedAt + limit * (1 - EXCUSED_SHARE)))
        return true
    }

    /** Returns whether a request received at [receivedAt] came too late to complete and must be refused. */
    public fun isTooLate(receivedAt: Duration): Boolean {
        if (!isStopping) return false
        return hasEnded || receivedAt - requestedAt > ACCEPT_AFTER_STOP || clock.now() >= responsesDueAt
    }

    /**
     * Returns by when a request must be answered whose caller waits until [deadline]. A target that knows this time ends
     * the work itself, and one that can't work so fast is not asked.
     */
    public fun responseBy(deadline: Duration): Duration = minOf(deadline, responsesDueAt)

    /**
     * Returns whether the daemon may exit now, after which no request is accepted; [isIdle] means that every accepted
     * request is answered and no byte of a response is left in the process.
     */
    public fun isOver(isIdle: Boolean): Boolean {
        val since = begunAt ?: return false
        val now = clock.now()
        if (now >= endsAt || (isIdle && now - since >= READINESS_NOTICE)) hasEnded = true
        return hasEnded
    }

    public companion object {
        /** Time for callers to see that the daemon is not ready: two readiness checks, one second apart. */
        public val READINESS_NOTICE: Duration = 2_500.milliseconds

        /**
         * Time after the request to stop in which requests are accepted: callers may know of no other daemon. A request
         * sent up to 3 s after the signal is excused if its target works until the exit; the rest is for the time until
         * this process sees the signal.
         */
        public val ACCEPT_AFTER_STOP: Duration = 2_750.milliseconds

        /** Time after the stop begins in which the target gets requests; most of these end before [READINESS_NOTICE]. */
        public val TARGET_USE_AFTER_STOP: Duration = 1_500.milliseconds

        /** Time for the response of a target that ends a request at its deadline to reach the caller. */
        private val RESPONSE_TRANSFER_TIME = 200.milliseconds

        /** Share of the limit that is left when a daemon which never becomes idle exits. */
        private const val RESERVED_SHARE = 2.0 / 15

        /** A target that works on an accepted request in this last share of the limit is excused. */
        private const val EXCUSED_SHARE = 1.0 / 6

        /** Longest time from the end of a stop to the end of the process, which must come before the kill. */
        private val EXIT_TIME = 300.milliseconds
    }
}
