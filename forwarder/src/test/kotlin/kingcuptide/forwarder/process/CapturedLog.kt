package kingcuptide.forwarder.process

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.AppenderBase
import kingcuptide.forwarder.ManualClock
import java.util.concurrent.CopyOnWriteArrayList

/** An event log that keeps its lines, without time, level and source; its limit is not used up by other tests. */
internal class CapturedLog {
    private val context = LoggerContext().apply { setMDCAdapter(LogbackMDCAdapter()) }
    private val captured = CopyOnWriteArrayList<String>()
    private val appender =
        object : AppenderBase<ILoggingEvent>() {
            override fun append(event: ILoggingEvent) {
                captured += event.formattedMessage
            }
        }

    val eventLog: EventLog

    /** The lines so far. */
    val lines: List<String> get() = captured.toList()

    init {
        appender.context = context
        appender.start()
        val logger = context.getLogger("test")
        logger.addAppender(appender)
        eventLog = EventLog(logger, LineLimiter(ManualClock()))
    }
}
