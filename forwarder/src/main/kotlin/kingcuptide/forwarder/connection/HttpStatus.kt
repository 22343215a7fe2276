package kingcuptide.forwarder.connection

/**
 * Returns whether [text] of a status line is a status: three digits of which the first is 1 to 5 (RFC 9110, section 15).
 * Anything else is no response of the protocol, neither an interim nor a final one.
 */
internal fun isHttpStatus(text: String): Boolean =
    text.length == STATUS_DIGITS && text.all { it in '0'..'9' } && isHttpStatus(text.toInt())

/** Returns whether [status] is one of the protocol. */
internal fun isHttpStatus(status: Int): Boolean = status in STATUSES

private const val STATUS_DIGITS = 3
private val STATUSES = 100..599
