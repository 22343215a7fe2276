package kingcuptide.coordination.version

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Walks over a JSON text before it is parsed and looks for what the parser lets pass or cannot bear: nesting beyond
 * [maxDepth], on which it would exhaust the stack, and keys that stand twice in one object, of which it would keep the
 * last. What else may be wrong with the text is left to the parser.
 */
internal class JsonScan(
    private val text: String,
    private val maxDepth: Int,
) {
    private val frames = ArrayDeque<Frame>()
    private val repeated = mutableListOf<String>()
    private var position = 0

    /** Whether the text is nested more deeply than allowed; the scan stops there. */
    var isTooDeep = false
        private set

    /** Paths of the keys that stand twice. */
    val repeatedKeys: List<String> get() = repeated

    /** Walks to the end of the text. */
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
        if (!frame.seen.add(key)) repeated += frames.joinToString(".") { it.label() }
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
