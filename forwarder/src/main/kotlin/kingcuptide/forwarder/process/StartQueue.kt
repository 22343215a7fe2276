package kingcuptide.forwarder.process

import io.netty.util.concurrent.EventExecutor
import kingcuptide.coordination.process.Clock
import kotlinx.coroutines.suspendCancellableCoroutine
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Starts work at the end of a round of I/O, when the event loop has read what all ready sockets have received.
 *
 * After a pause of the process a message and the one that withdraws it wait together; work that is withdrawn before the end
 * of the round does not start. Starts that take longer than the round, within bounds, continue after another one, so that
 * neither I/O nor starts take all the time of a busy process. Used on the event loop.
 *
 * @param scheduleTurn runs its argument at the end of a round, and after another one if called at the end of one
 */
class StartQueue(
    private val clock: Clock,
    private val log: EventLog = eventLog("daemon"),
    private val scheduleTurn: (() -> Unit) -> Unit,
) {
    /** Unlike a task that is executed, one that a task schedules waits for the next round. */
    constructor(loop: EventExecutor, clock: Clock) :
        this(clock, scheduleTurn = { loop.schedule(it, 0, TimeUnit.NANOSECONDS) })

    private val pending = ArrayDeque<() -> Unit>()
    private var isScheduled = false
    private var scheduledAt = Duration.ZERO

    /** Whether nothing waits for the end of the round. */
    val isEmpty: Boolean get() = pending.isEmpty()

    /** Runs [start] at the end of the round. */
    fun add(start: () -> Unit) {
        pending.addLast(start)
        schedule()
    }

    /** Runs [action] at the end of the round, before all starts. */
    fun addFirst(action: () -> Unit) {
        pending.addFirst(action)
        schedule()
    }

    /** Suspends until the end of the round. */
    suspend fun awaitTurn() {
        suspendCancellableCoroutine { continuation -> add { if (continuation.isActive) continuation.resume(Unit) } }
    }

    /** Runs all that waits now. */
    fun runAll() = repeat(pending.size) { runNext() }

    private fun schedule() {
        if (isScheduled) return
        isScheduled = true
        scheduledAt = clock.now()
        scheduleTurn(::runTurn)
    }

    private fun runTurn() {
        isScheduled = false
        val now = clock.now()
        val until = now + (now - scheduledAt).coerceIn(MIN_RUN_TIME, MAX_RUN_TIME)
        while (pending.isNotEmpty()) {
            runNext()
            if (clock.now() >= until) break
        }
        if (pending.isNotEmpty()) schedule()
    }

    /** The event loop would drop an error without a line. */
    private fun runNext() {
        val next = pending.removeFirstOrNull() ?: return
        runCatching(next).onFailure { log.error("task_failed", it) }
    }

    private companion object {
        /** Starts run for as long even if the round was shorter. */
        val MIN_RUN_TIME = 10.milliseconds

        /** Time after which sockets are read again: withdrawn work may start for at most half a second. */
        val MAX_RUN_TIME = 250.milliseconds
    }
}
