package kingcuptide.forwarder.request

import kingcuptide.coordination.request.GateLoadReport
import kingcuptide.coordination.request.PickReason
import kingcuptide.coordination.version.KnownTarget
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume
import kotlin.time.Duration

/**
 * An attempt of a request at one target.
 *
 * @property expectedTime expected time until its response when it started
 */
internal class Attempt(
    val target: KnownTarget,
    val reason: PickReason,
    val startedAt: Duration,
    val expectedTime: Duration,
) {
    /** Whether it counts towards the targets that the request has reached. */
    var isCounted = false

    internal var cancellation = Cancellation { false }
    internal var isWithdrawnUnsent = false
}

/** What becomes known of an [attempt]. */
internal sealed interface AttemptEvent {
    val attempt: Attempt

    /** The attempt has ended. */
    class Completed(
        override val attempt: Attempt,
        val result: ForwardResult,
    ) : AttemptEvent

    /** The target is silent, but may still respond. */
    class TargetSilent(
        override val attempt: Attempt,
        val loadReport: GateLoadReport?,
    ) : AttemptEvent
}

/**
 * The attempts of one request whose results have not been taken by [next]: the latest, and earlier ones at targets that
 * are silent. Used on the event loop.
 *
 * @param onAbandoned called for each attempt that is abandoned before its result was taken
 */
internal class RunningAttempts(
    private val onAbandoned: (Attempt) -> Unit,
) {
    private val running = LinkedHashSet<Attempt>()
    private val events = ArrayDeque<AttemptEvent>()
    private var waiting: CancellableContinuation<Unit>? = null
    private var isAbandoned = false

    val isEmpty: Boolean get() = running.isEmpty()

    /** Target of the latest attempt, or null if none runs or was abandoned. */
    val latestTarget: KnownTarget? get() = running.lastOrNull()?.target

    /** Whether a target may run the request, or may have run it, in one of these attempts. */
    val mayRun: Boolean get() = running.any { !it.isWithdrawnUnsent }

    /** Adds [attempt], which [submit] starts. */
    fun start(attempt: Attempt, submit: () -> Cancellation) {
        running += attempt
        attempt.cancellation = submit()
    }

    fun post(event: AttemptEvent) {
        events += event
        val continuation = waiting ?: return
        waiting = null
        if (continuation.isActive) continuation.resume(Unit)
    }

    /** Waits for the next event; cancellation abandons all attempts at once. */
    suspend fun next(): AttemptEvent {
        while (events.isEmpty()) {
            suspendCancellableCoroutine { continuation ->
                waiting = continuation
                continuation.invokeOnCancellation { abandonAll() }
            }
        }
        val event = events.removeFirst()
        if (event is AttemptEvent.Completed) running -= event.attempt
        return event
    }

    /** Cancels all attempts; they stay listed, since their targets may have begun to run the request. */
    fun abandonAll() {
        if (isAbandoned) return
        isAbandoned = true
        for (attempt in running) {
            onAbandoned(attempt)
            attempt.isWithdrawnUnsent = attempt.cancellation.cancel()
        }
    }
}
