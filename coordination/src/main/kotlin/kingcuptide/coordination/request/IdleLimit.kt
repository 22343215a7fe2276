package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limit on the idle time of a connection that is to be reused.
 *
 * A target advertises an idle timeout, but may close idle connections earlier: the outcome of a request sent then is
 * unknown. Each such loss shortens the limit for [LEARNED_LIMIT_LIFETIME]. Not thread-safe.
 */
public class IdleLimit(
    private val clock: Clock,
) {
    private var learnedLimit = Duration.INFINITE
    private var learnedAt = Duration.ZERO

    /** Returns the longest idle time for reuse of a connection; [advertised] is the target's own idle timeout. */
    public fun maxIdleTime(advertised: Duration, isIdempotent: Boolean): Duration {
        val share = if (isIdempotent) IDEMPOTENT_SHARE else NON_IDEMPOTENT_SHARE
        return minOf(advertised * share, currentLearnedLimit())
    }

    /**
     * Records a call without a response on a connection that had been idle for [idleTime]. [elapsed] is the time from
     * sending until the loss was detected. It is short if the target had already closed the connection; otherwise the
     * limit stays.
     */
    public fun recordConnectionLoss(idleTime: Duration, elapsed: Duration) {
        if (idleTime < MIN_IDLE_TIME || elapsed > MAX_RESET_TIME) return
        learnedLimit = minOf(currentLearnedLimit(), idleTime * LEARNED_SHARE)
        learnedAt = clock.now()
    }

    private fun currentLearnedLimit(): Duration =
        if (clock.now() - learnedAt > LEARNED_LIMIT_LIFETIME) Duration.INFINITE else learnedLimit

    public companion object {
        /** Time for which a learned limit applies. */
        public val LEARNED_LIMIT_LIFETIME: Duration = 8.seconds

        /** Share of the advertised timeout within which idempotent calls reuse a connection. */
        private const val IDEMPOTENT_SHARE = 0.7

        /** The same share for calls that must not be sent twice. */
        private const val NON_IDEMPOTENT_SHARE = 0.3

        /** Learned limit as a share of the idle time before a loss; the target's timeout may be shorter than that. */
        private const val LEARNED_SHARE = 0.5

        /** A connection that was idle for less was lost for another reason. */
        private val MIN_IDLE_TIME = 100.milliseconds

        /** Longest time in which a target on the same host resets a connection that it has closed. */
        private val MAX_RESET_TIME = 10.milliseconds
    }
}
