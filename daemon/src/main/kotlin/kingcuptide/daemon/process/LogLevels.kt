package kingcuptide.daemon.process

import ch.qos.logback.classic.Level
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import ch.qos.logback.classic.Logger as LogbackLogger

/** Sets the lowest severity that is logged; loggers with a level of their own keep it. */
internal fun setLogLevel(level: LogLevel) {
    val root = LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as? LogbackLogger ?: return
    root.level = Level.toLevel(level.name)
}
