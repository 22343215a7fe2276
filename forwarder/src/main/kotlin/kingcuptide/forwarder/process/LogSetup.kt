package kingcuptide.forwarder.process

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Logs go to standard output through a bounded queue; a reader that has stopped holds up no request. */
fun setUpLogs() {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val layout = PatternLayoutEncoder()
    layout.context = context
    layout.pattern = "ts=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%level source=%logger{0} %msg%n"
    layout.start()
    val console = ConsoleAppender<ILoggingEvent>()
    console.context = context
    console.encoder = layout
    console.start()
    val queue = AsyncAppender()
    queue.context = context
    queue.queueSize = QUEUED_LINES
    queue.discardingThreshold = 0
    queue.isNeverBlock = true
    queue.addAppender(console)
    queue.start()
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = Level.INFO
    root.addAppender(queue)
    context.getLogger("io.netty").level = Level.ERROR
}

/** Lines that wait for the reader of standard output; further ones are dropped. */
private const val QUEUED_LINES = 1_024
