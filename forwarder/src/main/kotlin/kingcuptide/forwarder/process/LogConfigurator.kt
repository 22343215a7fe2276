package kingcuptide.forwarder.process

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ConfiguratorRank
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.LayoutWrappingEncoder
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger

/**
 * Sends logs to standard output through a bounded queue, so that a stalled reader doesn't block requests.
 *
 * A program registers this class as its Logback configurator, which saves the search for a configuration file: a third
 * of the start of a daemon.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_TOP_PRIORITY)
class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        val queue = LogQueue()
        queue.context = context
        queue.addAppender(console(context))
        queue.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(queue)
        context.getLogger("io.netty").level = Level.ERROR
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun console(context: LoggerContext): ConsoleAppender<ILoggingEvent> {
        val layout = LineLayout()
        layout.context = context
        layout.start()
        val encoder = LayoutWrappingEncoder<ILoggingEvent>()
        encoder.context = context
        encoder.layout = layout
        encoder.start()
        val console = ConsoleAppender<ILoggingEvent>()
        console.context = context
        console.encoder = encoder
        console.start()
        return console
    }
}
