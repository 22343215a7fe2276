package kingcuptide.forwarder.process

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits the log lines of one kind per second, and counts those left out. Thread-safe. */
internal class LineLimiter(
    private val clock: Clock,
    private val linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
) {
    private val kinds = HashMap<String, Count>()

    /** Returns null if a line of [kind] must not be written now, or else the number left out in the last window. */
    @Synchronized
    fun tryAcquire(kind: String): Int? {
        val now = clock.now()
        if (kinds.size > MAX_KINDS) kinds.clear()
        val count = kinds.getOrPut(kind) { Count(now) }
        var leftOut = 0
        if (now - count.windowStart >= 1.seconds) {
            leftOut = count.leftOut
            count.windowStart = now
            count.written = 0
            count.leftOut = 0
        }
        if (count.written >= linesPerSecond) {
            count.leftOut++
            return null
        }
        count.written++
        return leftOut
    }

    private class Count(var windowStart: Duration) {
        var written = 0
        var leftOut = 0
    }

    private companion object {
        /** Enough to show a pattern, at little cost compared with the events themselves. */
        const val DEFAULT_LINES_PER_SECOND = 25
        const val MAX_KINDS = 1_000
    }
}
