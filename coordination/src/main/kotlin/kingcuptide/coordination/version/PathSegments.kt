package kingcuptide.coordination.version

/**
 * Splits [path] into decoded segments, or returns null if servers may disagree about which resource it names: dot
 * segments, empty segments, escaped separators, broken escapes, control characters, path parameters.
 *
 * The query is removed, and one trailing slash is ignored. Rejecting ambiguous paths prevents a request from matching
 * one route while its target handles it as another.
 */
internal fun segmentsOf(path: String): List<String>? {
    if (!path.startsWith('/')) return null
    val trimmed = path.substringBefore('?').removePrefix("/").removeSuffix("/")
    if (trimmed.isEmpty()) return if (path.startsWith("//")) null else emptyList()
    val segments = trimmed.split('/').map { decodeSegment(it) ?: return null }
    return segments.takeIf { all -> all.all { isUnambiguous(it) } }
}

private fun isUnambiguous(segment: String): Boolean =
    segment.isNotEmpty() && segment != "." && segment != ".." && segment.none { it in SEPARATORS || it.isISOControl() }

private fun decodeSegment(segment: String): String? {
    if ('%' !in segment) return segment
    val bytes = ByteArray(segment.length * MAX_UTF8_BYTES_PER_CHAR)
    var size = 0
    var index = 0
    while (index < segment.length) {
        if (segment[index] != '%') {
            val plain = segment[index].toString().encodeToByteArray()
            plain.copyInto(bytes, size)
            size += plain.size
            index++
            continue
        }
        bytes[size++] = escapedByte(segment, index) ?: return null
        index += ESCAPE_LENGTH
    }
    return try {
        bytes.decodeToString(0, size, throwOnInvalidSequence = true)
    } catch (_: CharacterCodingException) {
        null
    }
}

private fun escapedByte(segment: String, index: Int): Byte? {
    if (index + ESCAPE_LENGTH > segment.length) return null
    val high = segment[index + 1].digitToIntOrNull(HEX_RADIX) ?: return null
    val low = segment[index + 2].digitToIntOrNull(HEX_RADIX) ?: return null
    return (high * HEX_RADIX + low).toByte()
}

private const val SEPARATORS = "/\\;#?"
private const val ESCAPE_LENGTH = 3
private const val HEX_RADIX = 16
private const val MAX_UTF8_BYTES_PER_CHAR = 3
