package kingcuptide.forwarder.process

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.AppenderBase
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.startsWith
import java.time.Instant
import java.util.concurrent.CountDownLatch

internal class LineLayoutTest {
    private val context = LoggerContext().apply { setMDCAdapter(LogbackMDCAdapter()) }

    private fun event(cause: Throwable? = null): LoggingEvent {
        val logger = context.getLogger("some.place.gate")
        val event = LoggingEvent("fqcn", logger, Level.WARN, "event=target_lost request=7", cause, null)
        event.setInstant(Instant.parse("2026-01-02T03:04:05.006Z"))
        return event
    }

    @Test
    fun `Given an event, when it is formatted, then it is one line of pairs that begins with its time`() {
        expectThat(LineLayout().doLayout(event()))
            .isEqualTo("ts=2026-01-02T03:04:05.006Z level=WARN source=gate event=target_lost request=7\n")
    }

    @Test
    fun `Given an exception, when it is formatted, then its stack trace follows`() {
        val lines = LineLayout().doLayout(event(IllegalStateException("no"))).lines()
        expectThat(lines[1]).startsWith("java.lang.IllegalStateException: no")
    }

    @Test
    fun `Given a stalled reader, when more lines arrive than the queue holds, then they are dropped and counted`() {
        val resume = CountDownLatch(1)
        val stalled = object : AppenderBase<ILoggingEvent>() {
            override fun append(event: ILoggingEvent) = resume.await()
        }
        stalled.context = context
        stalled.start()
        val queue = LogQueue()
        queue.context = context
        queue.addAppender(stalled)
        queue.start()
        val before = LogQueue.droppedLines.get()
        repeat(3_000) { queue.doAppend(event()) }
        expectThat(LogQueue.droppedLines.get() - before).isGreaterThan(1_900)
        resume.countDown()
        queue.stop()
    }
}
