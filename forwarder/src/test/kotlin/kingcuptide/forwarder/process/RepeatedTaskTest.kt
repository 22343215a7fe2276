package kingcuptide.forwarder.process

import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** Guards against the load of idle hosts that wake up for timers which find nothing to do. */
internal class RepeatedTaskTest {
    private val channel = EmbeddedChannel().apply { freezeTime() }
    private var pending = 0
    private var runs = 0
    private val task = RepeatedTask(channel.eventLoop(), 20.milliseconds, { pending > 0 }) {
        runs++
        pending--
    }

    private fun advance(ms: Long) {
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    @Test
    fun `Given nothing to do, when the task is started, then the loop has no timer`() {
        repeat(3) { task.startIfNeeded() }
        expectThat(channel.runScheduledPendingTasks()).isEqualTo(NO_TIMER)
    }

    @Test
    fun `Given three things to do, when it is started twice, then it runs three times, once in each interval`() {
        pending = 3
        repeat(2) { task.startIfNeeded() }
        advance(19)
        expectThat(runs).isEqualTo(0)
        advance(1)
        expectThat(runs).isEqualTo(1)
        repeat(10) { advance(20) }
        expectThat(runs).isEqualTo(3)
        expectThat(channel.runScheduledPendingTasks()).isEqualTo(NO_TIMER)
    }

    @Test
    fun `Given a task that has come to rest, when there is something to do again, then it runs again`() {
        pending = 1
        task.startIfNeeded()
        repeat(2) { advance(20) }
        pending = 1
        task.startIfNeeded()
        advance(20)
        expectThat(runs).isEqualTo(2)
    }

    private companion object {
        /** Result of [EmbeddedChannel.runScheduledPendingTasks] when no task is scheduled. */
        const val NO_TIMER = -1L
    }
}
