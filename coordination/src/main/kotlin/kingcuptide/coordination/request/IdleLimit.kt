package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long a kept connection may have rested before it is used again.
 *
 * A target says how long it keeps idle connections, but may forget them sooner: what is sent then is lost, and nobody
 * knows whether it ran. From each such loss this learns a shorter limit, which it forgets after [MEMORY]. Used from one
 * thread.
 */
public class IdleLimit(
    private val clock: Clock,
) {
    private var learned = Duration.INFINITE
    private var learnedAt = Duration.ZERO

    /** Returns the longest rest after which a connection may carry a call; [stated] is what the target says. */
    public fun maxIdleTime(stated: Duration, isRepeatable: Boolean): Duration {
        val share = if (isRepeatable) REPEATABLE_SHARE else ONCE_SHARE
        return minOf(stated * share, learnedNow())
    }

    /**
     * A call got no answer on a connection that had [rested], and this was known after [took]: at once if the target had
     * forgotten the connection, or else about when the answer was due.
     */
    public fun recordConnectionLoss(rested: Duration, took: Duration) {
        if (rested < SHORTEST_REST || took > LONGEST_REFUSAL) return
        learned = minOf(learnedNow(), rested * LEARNED_SHARE)
        learnedAt = clock.now()
    }

    private fun learnedNow(): Duration = if (clock.now() - learnedAt > MEMORY) Duration.INFINITE else learned

    public companion object {
        /** Time for which a learned limit holds. */
        public val MEMORY: Duration = 8.seconds

        /** Share of the target's word for which a connection is used. */
        private const val REPEATABLE_SHARE = 0.7

        /** The same for calls that must not be sent twice. */
        private const val ONCE_SHARE = 0.3

        /** Share of the rest after which a call was lost: the target's own limit may lie below it. */
        private const val LEARNED_SHARE = 0.5

        /** A connection that rested for less was lost for another reason. */
        private val SHORTEST_REST = 100.milliseconds

        /** Time in which a target on the same host resets a connection that it does not know. */
        private val LONGEST_REFUSAL = 10.milliseconds
    }
}
