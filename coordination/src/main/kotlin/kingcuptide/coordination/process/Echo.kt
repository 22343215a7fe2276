package kingcuptide.coordination.process

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * When a probe of this daemon was answered at all.
 *
 * A daemon whose probes all go unanswered is probably cut off itself: it judges nobody at once, and tells nobody.
 */
internal class Echo(
    startedAt: Duration,
) {
    private var lastAnswer = startedAt

    /** Notes an answer at [now]; returns whether this daemon was unanswered until then. */
    fun answered(now: Duration): Boolean {
        val wasUnanswered = isUnanswered(now)
        lastAnswer = now
        return wasUnanswered
    }

    /** Takes [gap], in which this process did not run, out of the account. */
    fun postpone(gap: Duration) {
        lastAnswer += gap
    }

    fun isUnanswered(now: Duration): Boolean = now - lastAnswer >= UNANSWERED_AFTER

    /** Returns whether nothing was answered since [sentAt], and too little time has passed to conclude from that. */
    fun isDoubtful(sentAt: Duration, now: Duration): Boolean = lastAnswer < sentAt && !isUnanswered(now)

    private companion object {
        val UNANSWERED_AFTER = 1.5.seconds
    }
}
