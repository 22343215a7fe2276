package kingcuptide.forwarder

import kingcuptide.coordination.process.Clock
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import java.util.PriorityQueue
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A clock and a dispatcher whose time passes only in [advance], so that coroutine tests are deterministic. */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class VirtualTime :
    CoroutineDispatcher(),
    Delay,
    Clock {
    private val tasks = PriorityQueue<Task>()
    private var now = 1_000.seconds
    private var lastNumber = 0L

    override fun now(): Duration = now

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        schedule(now) { block.run() }
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        schedule(now + timeMillis.milliseconds) { with(this) { with(continuation) { resumeUndispatched(Unit) } } }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle {
        val task = schedule(now + timeMillis.milliseconds) { block.run() }
        return DisposableHandle { tasks.remove(task) }
    }

    /** Advances the time by [by] and runs the tasks due by then in the order of their time. */
    fun advance(by: Duration) {
        val end = now + by
        while (true) {
            val next = tasks.peek()?.takeIf { it.at <= end } ?: break
            tasks.remove()
            now = maxOf(now, next.at)
            next.action()
        }
        now = end
    }

    /** Runs [action] when the time has advanced by [delay]. */
    fun after(delay: Duration, action: () -> Unit) {
        schedule(now + delay, action)
    }

    private fun schedule(at: Duration, action: () -> Unit): Task = Task(at, ++lastNumber, action).also { tasks += it }

    private class Task(
        val at: Duration,
        val number: Long,
        val action: () -> Unit,
    ) : Comparable<Task> {
        override fun compareTo(other: Task): Int = compareValuesBy(this, other, Task::at, Task::number)
    }
}
