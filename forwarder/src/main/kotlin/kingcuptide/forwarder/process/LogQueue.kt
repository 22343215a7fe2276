package kingcuptide.forwarder.process

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/** Queue of lines for standard output. When full, it drops and counts further lines. */
internal class LogQueue : AsyncAppender() {
    init {
        queueSize = QUEUE_CAPACITY_LINES
        discardingThreshold = 0
        isNeverBlock = true
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) droppedLines.incrementAndGet()
        super.append(event)
    }

    companion object {
        /** Lines dropped by this process; with two threads at the last free slot, one drop may go uncounted. */
        val droppedLines = AtomicLong()
        private const val QUEUE_CAPACITY_LINES = 1_024
    }
}
