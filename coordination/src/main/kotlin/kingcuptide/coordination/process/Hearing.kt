package kingcuptide.coordination.process

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** When this daemon heard anybody at all: one that hears nobody judges nobody at once, and tells nobody. */
internal class Hearing(
    startedAt: Duration,
) {
    private var lastHeard = startedAt

    /** Notes a message at [now]; returns whether this daemon was deaf until then. */
    fun heard(now: Duration): Boolean {
        val wasDeaf = isDeaf(now)
        lastHeard = now
        return wasDeaf
    }

    /** Takes [gap], in which this process did not run, out of the account. */
    fun postpone(gap: Duration) {
        lastHeard += gap
    }

    fun isDeaf(now: Duration): Boolean = now - lastHeard >= DEAF_AFTER

    /** Returns whether nothing at all arrived since [sentAt], and too little time has passed to conclude from that. */
    fun isDoubtful(sentAt: Duration, now: Duration): Boolean = lastHeard < sentAt && !isDeaf(now)

    private companion object {
        val DEAF_AFTER = 1.5.seconds
    }
}
