package kingcuptide.coordination.version

import java.io.ByteArrayOutputStream

/**
 * A text, encoded as the runs that it shares with a base known to both sides and the new bytes between them.
 *
 * @property copies start and length in the base of each shared run, in bytes and in the order of the text
 * @property additions the bytes before each shared run, and after the last
 */
public class TextDelta(
    public val copies: List<Int>,
    public val additions: List<ByteArray>,
) {
    /** Returns the text, or null if this delta does not fit [base]. */
    public fun applyTo(base: ByteArray): ByteArray? {
        if (copies.size % 2 != 0 || additions.size != copies.size / 2 + 1) return null
        val out = ByteArrayOutputStream(base.size)
        for (run in 0 until copies.size / 2) {
            val start = copies[2 * run]
            val length = copies[2 * run + 1]
            if (start < 0 || length < 0 || start > base.size - length) return null
            out.write(additions[run])
            out.write(base, start, length)
        }
        out.write(additions.last())
        return out.toByteArray()
    }

    public companion object {
        private const val DELIMITER = '{'.code.toByte()

        /** Returns the delta from [base] to [text]; both are split into pieces at each opening brace. */
        public fun between(base: ByteArray, text: ByteArray): TextDelta {
            val offsets = HashMap<String, Int>()
            forEachPiece(base) { start, end -> offsets.putIfAbsent(piece(base, start, end), start) }
            val copies = ArrayList<Int>()
            val additions = ArrayList<ByteArray>()
            val added = ByteArrayOutputStream()
            forEachPiece(text) { start, end ->
                val offset = offsets[piece(text, start, end)]
                val continues = offset != null &&
                    added.size() == 0 &&
                    copies.isNotEmpty() &&
                    copies[copies.size - 2] + copies.last() == offset
                when {
                    offset == null -> added.write(text, start, end - start)
                    continues -> copies[copies.size - 1] += end - start
                    else -> {
                        additions += added.toByteArray()
                        added.reset()
                        copies += offset
                        copies += end - start
                    }
                }
            }
            additions += added.toByteArray()
            return TextDelta(copies, additions)
        }

        private fun piece(bytes: ByteArray, start: Int, end: Int): String =
            String(bytes, start, end - start, Charsets.ISO_8859_1)

        private inline fun forEachPiece(bytes: ByteArray, action: (Int, Int) -> Unit) {
            var start = 0
            for (index in 1..bytes.size) {
                if (index < bytes.size && bytes[index] != DELIMITER) continue
                action(start, index)
                start = index
            }
        }
    }
}
