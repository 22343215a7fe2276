package kingcuptide.coordination.version

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Scans a JSON text, before it is parsed, for two faults that the parser does not report: nesting deeper than
 * [maxDepth], which would overflow its stack, and duplicate keys in an object, of which it would keep the last. All
 * other faults are left to the parser.
 */
internal class JsonScan(
    private val text: String,
    private val maxDepth: Int,
) {
    private val frames = ArrayDeque<Frame>()
    private val duplicates = mutableListOf<String>()
    private var position = 0

    /** Whether the text is nested deeper than allowed; the scan stops there. */
    var isTooDeep = false
        private set

    /** Paths of the duplicate keys. */
    val duplicateKeys: List<String> get() = duplicates

    /** Scans the text to its end, or to where it is nested too deeply. */
    fun run(): JsonScan {
        while (position < text.length && !isTooDeep) {
            when (text[position]) {
                '"' -> readString()
                '{' -> open(isObject = true)
                '[' -> open(isObject = false)
                '}', ']' -> frames.removeLastOrNull()
                ',' -> frames.lastOrNull()?.nextMember()
            }
            position++
        }
        return this
    }

    private fun open(isObject: Boolean) {
        isTooDeep = frames.size == maxDepth
        frames.addLast(Frame(isObject))
    }

    private fun readString() {
        val start = position
        position++
        while (position < text.length && text[position] != '"') position += if (text[position] == '\\') 2 else 1
        val frame = frames.lastOrNull() ?: return
        if (!frame.isObject || frame.key != null || position >= text.length) return
        val key = unescape(text.substring(start, position + 1)) ?: return
        frame.key = key
        if (!frame.seen.add(key)) duplicates += frames.joinToString(".") { it.label() }
    }

    private fun unescape(literal: String): String? {
        if ('\\' !in literal) return literal.removeSurrounding("\"")
        return try {
            Json.decodeFromString<String>(literal)
        } catch (_: SerializationException) {
            null
        }
    }

    private class Frame(
        val isObject: Boolean,
    ) {
        val seen = HashSet<String>()
        var key: String? = null
        var index = 0

        fun nextMember() {
            key = null
            index++
        }

        fun label(): String = key ?: index.toString()
    }
}
