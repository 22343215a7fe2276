package kingcuptide.cli

/**
 * One event of a daemon's log.
 *
 * @property origin the log it comes from: the last word of the prefix before its first key, or else the file name
 * @property time ISO 8601 text as logged; sorts as text as long as all daemons log the same offset
 */
internal data class LogLine(
    val origin: String,
    val time: String,
    val event: String,
    val fields: Map<String, String>,
)

/** Parses a line of key=value pairs, or returns null if it is not an event: it has no `ts` or no `event`. */
internal fun parseLogLine(text: String, file: String): LogLine? {
    val start = text.indexOf(FIRST_KEY)
    if (start < 0) return null
    val fields = LinkedHashMap<String, String>()
    for (match in KEY_VALUE_PAIR.findAll(text, start)) {
        val (key, quoted, plain) = match.destructured
        fields[key] = if (plain.isEmpty()) unescape(quoted) else plain
    }
    val time = fields.remove("ts") ?: return null
    val event = fields.remove("event") ?: return null
    val origin = text.substring(0, start).trim().substringAfterLast(' ').ifEmpty { file }
    return LogLine(origin, time, event, fields)
}

private fun unescape(text: String): String = text.replace(ESCAPED_CHARACTER) { it.groupValues[1] }

private const val FIRST_KEY = "ts="
private val KEY_VALUE_PAIR = Regex("""([A-Za-z_]+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))""")
private val ESCAPED_CHARACTER = Regex("""\\(.)""")
