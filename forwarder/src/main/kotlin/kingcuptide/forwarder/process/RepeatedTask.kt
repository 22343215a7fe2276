package kingcuptide.forwarder.process

import io.netty.util.concurrent.EventExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Runs [action] every [interval] for as long as [isNeeded]; in between it causes no wake-ups of [loop]. An error of one run
 * must be caught by [action]. Used on [loop].
 */
internal class RepeatedTask(
    private val loop: EventExecutor,
    private val interval: Duration,
    private val isNeeded: () -> Boolean,
    private val action: () -> Unit,
) {
    private var isScheduled = false

    /** Called whenever [action] may have become needed. */
    fun startIfNeeded() {
        if (isScheduled || !isNeeded()) return
        isScheduled = true
        loop.schedule(::run, interval.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun run() {
        isScheduled = false
        action()
        startIfNeeded()
    }
}
