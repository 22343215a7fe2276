package kingcuptide.coordination.process

import java.net.InetAddress
import java.net.UnknownHostException

/** Returns whether [text] is a literal IP address. Names are not resolved: hosts are addressed by IP only. */
public fun isIpAddress(text: String): Boolean = isIpv4Address(text) || isIpv6Address(text)

private fun isIpv4Address(text: String): Boolean {
    val parts = text.split('.')
    return parts.size == IPV4_PARTS && parts.all { it.length in IPV4_PART_LENGTH && it.toIntOrNull() in IPV4_PART }
}

private fun isIpv6Address(text: String): Boolean {
    if (!IPV6_CHARACTERS.matches(text)) return false
    return try {
        InetAddress.getByName(text)
        true
    } catch (_: UnknownHostException) {
        false
    }
}

private const val IPV4_PARTS = 4
private val IPV4_PART = 0..255
private val IPV4_PART_LENGTH = 1..3

/** [InetAddress.getByName] never resolves text that consists of these characters and contains a colon. */
private val IPV6_CHARACTERS = Regex("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")
