package kingcuptide.forwarder.process

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/** Lines that wait for the reader of standard output. A full queue drops further ones, and counts them. */
internal class LogQueue : AsyncAppender() {
    init {
        queueSize = QUEUED_LINES
        discardingThreshold = 0
        isNeverBlock = true
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) droppedLines.incrementAndGet()
        super.append(event)
    }

    companion object {
        /** Lines of this process that were dropped; two threads at the last free place may drop one uncounted. */
        val droppedLines = AtomicLong()
        private const val QUEUED_LINES = 1_024
    }
}
