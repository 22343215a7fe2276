package kingcuptide.forwarder.process

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Bounds the log lines of one kind in each second, and counts those left out. Thread-safe. */
internal class LineLimiter(
    private val clock: Clock,
    private val perSecond: Int = LINES_PER_SECOND,
) {
    private val kinds = HashMap<String, Count>()

    /** Returns null if a line of [kind] must not be written now, or else how many were left out since the last second. */
    @Synchronized
    fun tryAcquire(kind: String): Int? {
        val now = clock.now()
        if (kinds.size > MAX_KINDS) kinds.clear()
        val count = kinds.getOrPut(kind) { Count(now) }
        var leftOut = 0
        if (now - count.since >= 1.seconds) {
            leftOut = count.leftOut
            count.since = now
            count.written = 0
            count.leftOut = 0
        }
        if (count.written >= perSecond) {
            count.leftOut++
            return null
        }
        count.written++
        return leftOut
    }

    private class Count(var since: Duration) {
        var written = 0
        var leftOut = 0
    }

    private companion object {
        /** Enough to see a pattern, and little beside the work that the events themselves are. */
        const val LINES_PER_SECOND = 25
        const val MAX_KINDS = 1_000
    }
}
