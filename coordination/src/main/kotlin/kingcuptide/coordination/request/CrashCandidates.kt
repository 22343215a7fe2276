package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.version.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Requests that may have crashed the target beside this daemon: those without a complete response, and those whose response
 * was complete just before a connection ended.
 *
 * They count only once the target is known to have ended, which is observed up to [DETECTION_WINDOW] later. Not thread-safe.
 */
public class CrashCandidates(
    private val clock: Clock,
) {
    private val candidates = ArrayDeque<CrashCandidate>()
    private val responses = ArrayDeque<CrashCandidate>()

    /** Records that [request], sent to [target] at [startedAt], ended without a valid response. */
    public fun interrupted(request: FingerprintInput, target: TargetId, startedAt: Duration): Unit =
        addBounded(candidates, CrashCandidate(request, target, startedAt, clock.now()))

    /** Records that [target] has sent a complete response to [request], which was sent at [startedAt]. */
    public fun responded(request: FingerprintInput, target: TargetId, startedAt: Duration): Unit =
        addBounded(responses, CrashCandidate(request, target, startedAt, clock.now()))

    /**
     * Records that a connection to the target ended while no call waited on it. Requests with a response within
     * [RESPONSE_WINDOW] become candidates, except those with an earlier response that the target has outlived.
     */
    public fun connectionEnded() {
        val now = clock.now()
        val (recent, outlived) = responses.partition { now - it.at <= RESPONSE_WINDOW }
        if (recent.isEmpty()) return
        responses.removeAll(recent)
        val harmless = outlived.mapTo(HashSet()) { it.request.fingerprint }
        recent.filterNot { it.request.fingerprint in harmless }.forEach { addBounded(candidates, it) }
    }

    /** Returns and removes the candidates of each target that [hasEnded]; older ones than [DETECTION_WINDOW] are dropped. */
    public fun drain(hasEnded: (TargetId) -> Boolean): Map<TargetId, List<CrashCandidate>> {
        if (candidates.isEmpty()) return emptyMap()
        val now = clock.now()
        candidates.removeAll { now - it.at > DETECTION_WINDOW }
        val ended = candidates.filter { hasEnded(it.target) }
        candidates.removeAll(ended)
        return ended.groupBy { it.target }
    }

    private fun addBounded(deque: ArrayDeque<CrashCandidate>, candidate: CrashCandidate) {
        if (deque.size == MAX_CANDIDATES) deque.removeFirst()
        deque.addLast(candidate)
    }

    internal companion object {
        /** Longest time from the end of a connection to a health check that finds the target ended, also after one that hangs. */
        val DETECTION_WINDOW = 3.seconds

        /** Longest time from a response to the end of the connections if the request has crashed the target. */
        val RESPONSE_WINDOW = 250.milliseconds

        /** Requests of each kind that are kept; more than a target runs at the same time. */
        const val MAX_CANDIDATES = 64
    }
}
