package kingcuptide.coordination.version

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.Base64

/**
 * The first 128 bits of the SHA-256 of an API key. Keys themselves are neither stored nor sent between daemons.
 *
 * It has no readable text on purpose, so that a log line can't contain it by accident; [encoded] is the form that is sent.
 */
public class KeyDigest(
    internal val high: Long,
    internal val low: Long,
) {
    /** Returns the digest as [ENCODED_CHARS] characters of unpadded base64url. */
    public fun encoded(): String =
        ENCODER.encodeToString(ByteBuffer.allocate(DIGEST_BYTES).putLong(high).putLong(low).array())

    public companion object {
        private const val DIGEST_BYTES = 16
        private const val ENCODED_CHARS = 22
        private val ENCODER = Base64.getUrlEncoder().withoutPadding()

        /** Copied for each digest, since the search for an implementation by name costs more than most digests. */
        private val SHA_256 = MessageDigest.getInstance("SHA-256")

        /** Returns the digest of [key]. */
        public fun of(key: String): KeyDigest {
            val sha256 = SHA_256.clone() as MessageDigest
            val hash = ByteBuffer.wrap(sha256.digest(key.encodeToByteArray()))
            return KeyDigest(hash.getLong(), hash.getLong())
        }

        /** Returns the digest that [encoded] returned as [text], or null if [text] is none. */
        public fun parse(text: String): KeyDigest? {
            if (text.length != ENCODED_CHARS) return null
            return try {
                val bytes = ByteBuffer.wrap(Base64.getUrlDecoder().decode(text))
                KeyDigest(bytes.getLong(), bytes.getLong())
            } catch (_: IllegalArgumentException) {
                null
            }
        }
    }
}
