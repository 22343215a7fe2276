package kingcuptide.forwarder.process

import kingcuptide.coordination.process.systemClock
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Writes one line of key=value pairs for each event. Values with spaces or quotes are quoted. Lines of one event and
 * code are rate-limited; the next line gives the number that was left out.
 */
class EventLog internal constructor(
    private val logger: Logger,
    private val limiter: LineLimiter,
) {
    fun info(event: String, vararg fields: Pair<String, Any?>) {
        if (logger.isInfoEnabled) formatLimited(event, fields)?.let(logger::info)
    }

    fun warn(event: String, vararg fields: Pair<String, Any?>) {
        if (logger.isWarnEnabled) formatLimited(event, fields)?.let(logger::warn)
    }

    /** Writes the line with the stack trace of [cause], which is a bug in this program. */
    fun error(event: String, cause: Throwable, vararg fields: Pair<String, Any?>) {
        formatLimited(event, fields)?.let { logger.error(it, cause) }
    }

    fun debug(event: String, vararg fields: Pair<String, Any?>) {
        if (logger.isDebugEnabled) formatLimited(event, fields)?.let(logger::debug)
    }

    private fun formatLimited(event: String, fields: Array<out Pair<String, Any?>>): String? {
        val code = fields.firstOrNull { it.first == "code" }?.second
        val leftOut = limiter.tryAcquire("$event $code") ?: return null
        val line = formatEvent(event, fields)
        return if (leftOut == 0) line else "$line left_out=$leftOut"
    }
}

/** Returns the event log whose lines have [name] as their source. */
fun eventLog(name: String): EventLog = EventLog(LoggerFactory.getLogger(name), LineLimiter(systemClock()))

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
