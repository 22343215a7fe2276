package kingcuptide.coordination.connection

/**
 * Returns whether [bytes] from [start] to the end are exactly one well-formed CBOR item of bounded depth.
 *
 * The decoder trusts the lengths that an item declares and would allocate for them; here each declared length is
 * compared with what is left before anything is allocated.
 */
internal fun isWellFormedCbor(
    bytes: ByteArray,
    start: Int,
): Boolean = CborCheck(bytes, start).isOneItem()

private class CborCheck(
    private val bytes: ByteArray,
    private var position: Int,
) {
    fun isOneItem(): Boolean = skipItem(MAX_DEPTH) && position == bytes.size

    private fun skipItem(depthLeft: Int): Boolean {
        if (depthLeft == 0 || position >= bytes.size) {
            return false
        }
        val initial = bytes[position++].toInt() and BYTE_MASK
        val major = initial ushr MAJOR_SHIFT
        val info = initial and INFO_MASK
        if (info == INFO_INDEFINITE) {
            return major in MAJOR_BYTES..MAJOR_MAP && skipUntilBreak(major, depthLeft)
        }
        val argument = readArgument(info)
        return argument >= 0 && skipContent(major, argument, depthLeft)
    }

    private fun skipContent(
        major: Int,
        argument: Long,
        depthLeft: Int,
    ): Boolean = when (major) {
        MAJOR_BYTES, MAJOR_TEXT -> skipBytes(argument)
        MAJOR_ARRAY -> skipItems(argument, itemsEach = 1, depthLeft)
        MAJOR_MAP -> skipItems(argument, itemsEach = 2, depthLeft)
        MAJOR_TAG -> skipItem(depthLeft - 1)
        else -> true
    }

    private fun skipBytes(count: Long): Boolean {
        if (count > bytes.size - position) {
            return false
        }
        position += count.toInt()
        return true
    }

    private fun skipItems(
        count: Long,
        itemsEach: Int,
        depthLeft: Int,
    ): Boolean {
        if (count > (bytes.size - position) / itemsEach) {
            return false
        }
        repeat(count.toInt() * itemsEach) {
            if (!skipItem(depthLeft - 1)) {
                return false
            }
        }
        return true
    }

    private fun skipUntilBreak(
        major: Int,
        depthLeft: Int,
    ): Boolean {
        var items = 0
        while (position < bytes.size) {
            if (bytes[position] == BREAK) {
                position++
                return major != MAJOR_MAP || items % 2 == 0
            }
            if (!skipItem(depthLeft - 1)) {
                return false
            }
            items++
        }
        return false
    }

    /** Reads the number that belongs to an initial byte, or returns a negative number if there is none. */
    private fun readArgument(info: Int): Long {
        if (info < INFO_ONE_BYTE) {
            return info.toLong()
        }
        if (info > INFO_EIGHT_BYTES) {
            return MALFORMED
        }
        val size = 1 shl (info - INFO_ONE_BYTE)
        if (size > bytes.size - position) {
            return MALFORMED
        }
        var value = 0L
        repeat(size) { value = (value shl Byte.SIZE_BITS) or (bytes[position++].toLong() and BYTE_MASK.toLong()) }
        // Numbers and floats may use all 64 bits; only lengths are compared, and those are never that great.
        return value and Long.MAX_VALUE
    }

    private companion object {
        const val MAX_DEPTH = 32
        const val BYTE_MASK = 0xff
        const val MAJOR_SHIFT = 5
        const val INFO_MASK = 0x1f
        const val INFO_ONE_BYTE = 24
        const val INFO_EIGHT_BYTES = 27
        const val INFO_INDEFINITE = 31
        const val MAJOR_BYTES = 2
        const val MAJOR_TEXT = 3
        const val MAJOR_ARRAY = 4
        const val MAJOR_MAP = 5
        const val MAJOR_TAG = 6
        const val MALFORMED = -1L
        const val BREAK = 0xff.toByte()
    }
}
