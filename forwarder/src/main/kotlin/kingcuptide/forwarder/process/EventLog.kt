package kingcuptide.forwarder.process

import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Writes one line of key=value pairs for each event. Values with spaces or quotes are quoted. */
class EventLog(
    private val logger: Logger,
) {
    fun info(event: String, vararg fields: Pair<String, Any?>) {
        if (logger.isInfoEnabled) logger.info(formatEvent(event, fields))
    }

    fun warn(event: String, vararg fields: Pair<String, Any?>) {
        if (logger.isWarnEnabled) logger.warn(formatEvent(event, fields))
    }

    fun debug(event: String, vararg fields: Pair<String, Any?>) {
        if (logger.isDebugEnabled) logger.debug(formatEvent(event, fields))
    }
}

/** Returns the event log whose lines carry [name] as their source. */
fun eventLog(name: String): EventLog = EventLog(LoggerFactory.getLogger(name))

fun formatEvent(event: String, fields: Array<out Pair<String, Any?>>): String =
    buildString {
        append("event=").append(event)
        for ((key, value) in fields) {
            append(' ').append(key).append('=').append(quoteIfNeeded(value.toString()))
        }
    }

private fun quoteIfNeeded(value: String): String {
    if (value.isNotEmpty() &&
        value.none { it.isWhitespace() || it == '"' || it == '=' || it.isISOControl() }
    ) {
        return value
    }
    val escaped =
        value
            .replace("\\", "\\\\")
            .replace("\"", "\\\"")
            .map { if (it.isISOControl()) ' ' else it }
            .joinToString("")
    return "\"$escaped\""
}
