package kingcuptide.coordination.version

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** SHA-256 over the canonical form of a resource version, in hexadecimal. Equal digests mean equal content. */
@JvmInline
@Serializable
public value class Digest(
    public val hex: String,
) {
    override fun toString(): String = hex
}

/** Digests [parts] in order; each part is preceded by its length, so that only equal parts give equal input. */
internal fun digestOf(parts: Sequence<String>): Digest {
    val sha256 = MessageDigest.getInstance("SHA-256")
    for (part in parts) {
        val bytes = part.encodeToByteArray()
        sha256.update(lengthPrefix(bytes.size))
        sha256.update(bytes)
    }
    return Digest(sha256.digest().joinToString("") { "%02x".format(it) })
}

private fun lengthPrefix(size: Int): ByteArray = ByteArray(Int.SIZE_BYTES) { index ->
    (
        size ushr
            (index * Byte.SIZE_BITS)
    ).toByte()
}
