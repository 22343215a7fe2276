package kingcuptide.forwarder.request

import kingcuptide.forwarder.connection.Headers

/** What the headers of a response say of the rate that its target takes. */
internal sealed interface RateNotice {
    /** The target takes [perSecond] requests a second, 0 or more, from all hosts together. */
    data class Named(val perSecond: Double) : RateNotice

    /** The target limits nothing. */
    data object Absent : RateNotice

    /** The header can't be read. */
    data class Invalid(val text: String) : RateNotice
}

/** Reads the header [name], a decimal number without sign or exponent. */
internal fun rateNoticeIn(headers: Headers, name: String): RateNotice {
    val values = headers.filter { it.first.equals(name, ignoreCase = true) }.map { it.second.trim() }.distinct()
    if (values.isEmpty()) return RateNotice.Absent
    val text = values.joinToString(", ")
    val rate = text.takeIf(DECIMAL::matches)?.toDouble() ?: return RateNotice.Invalid(text.take(MAX_LOGGED_LENGTH))
    return RateNotice.Named(rate)
}

private val DECIMAL = Regex("\\d{1,9}(\\.\\d{1,9})?")
private const val MAX_LOGGED_LENGTH = 40
