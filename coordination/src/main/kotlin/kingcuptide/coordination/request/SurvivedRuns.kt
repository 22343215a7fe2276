package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration

/** A request that the target beside a daemon has survived, and when its latest such run started. */
public class SurvivedRun(
    public val request: FingerprintInput,
    public val startedAt: Duration,
)

/**
 * The requests that the target beside this daemon has survived most recently.
 *
 * A target may crash right after a whole response. So a run counts once the target has lived on for
 * [CrashCandidates.RESPONSE_WINDOW] after the response; if a connection has ended within that time, once the target has also
 * responded to a request that was sent after that end. Not thread-safe.
 */
public class SurvivedRuns(
    private val clock: Clock,
) {
    private val recent = ArrayDeque<Run>()
    private val doubtful = ArrayDeque<DoubtfulRun>()
    private val startByRequest = object : LinkedHashMap<FingerprintInput, Duration>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<FingerprintInput, Duration>): Boolean =
            size > MAX_REQUESTS
    }

    /** Records that the target has responded to [request], which was sent to it at [startedAt]. */
    public fun responded(request: FingerprintInput, startedAt: Duration) {
        while (doubtful.isNotEmpty() &&
            doubtful.first().let { it.connectionEndedAt < startedAt && isSurvived(it.run) }
        ) {
            count(doubtful.removeFirst().run)
        }
        countRecent()
        if (recent.size == MAX_RECENT) recent.removeFirst()
        recent.addLast(Run(request, startedAt, clock.now()))
    }

    /** Records that the target has ended a connection, which may show that it has crashed. */
    public fun connectionEnded() {
        countRecent()
        val now = clock.now()
        recent.forEach { doubtful.addLast(DoubtfulRun(it, now)) }
        recent.clear()
        while (doubtful.size > MAX_RECENT) doubtful.removeFirst()
    }

    /** Records that the target has crashed. */
    public fun targetCrashed() {
        recent.clear()
        doubtful.clear()
    }

    /** Returns the requests that were survived, each with its latest run. */
    public fun latest(): List<SurvivedRun> {
        countRecent()
        return startByRequest.map { (request, startedAt) -> SurvivedRun(request, startedAt) }
    }

    private fun countRecent() {
        while (recent.isNotEmpty() && isSurvived(recent.first())) count(recent.removeFirst())
    }

    private fun isSurvived(run: Run): Boolean = clock.now() - run.respondedAt > CrashCandidates.RESPONSE_WINDOW

    private fun count(run: Run) {
        val before = startByRequest.remove(run.request) ?: run.startedAt
        startByRequest[run.request] = maxOf(before, run.startedAt)
    }

    private class Run(
        val request: FingerprintInput,
        val startedAt: Duration,
        val respondedAt: Duration,
    )

    private class DoubtfulRun(
        val run: Run,
        val connectionEndedAt: Duration,
    )

    private companion object {
        /** Requests that are remembered, the latest first; more than many callers send often. */
        const val MAX_REQUESTS = 256

        /** Responses that are kept until their target has survived them. */
        const val MAX_RECENT = 256
    }
}
