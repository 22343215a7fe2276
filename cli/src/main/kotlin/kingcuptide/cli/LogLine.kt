package kingcuptide.cli

/**
 * One event that a daemon wrote.
 *
 * @property origin which log it is from: the last word before the line, or else the name of the file
 * @property time as the daemon wrote it; sorts as text as long as all daemons write the same offset
 */
internal data class LogLine(
    val origin: String,
    val time: String,
    val event: String,
    val fields: Map<String, String>,
)

/** Reads a line of key=value pairs, or returns null if it is not an event. */
internal fun parseLogLine(text: String, file: String): LogLine? {
    val start = text.indexOf(FIRST_KEY)
    if (start < 0) return null
    val fields = LinkedHashMap<String, String>()
    for (match in PAIR.findAll(text, start)) {
        val (key, quoted, plain) = match.destructured
        fields[key] = if (plain.isEmpty()) unescape(quoted) else plain
    }
    val time = fields.remove("ts") ?: return null
    val event = fields.remove("event") ?: return null
    val origin = text.substring(0, start).trim().substringAfterLast(' ').ifEmpty { file }
    return LogLine(origin, time, event, fields)
}

private fun unescape(text: String): String = text.replace(ESCAPED) { it.groupValues[1] }

private const val FIRST_KEY = "ts="
private val PAIR = Regex("""([A-Za-z_]+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))""")
private val ESCAPED = Regex("""\\(.)""")
