package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.zip.CRC32C

/** Hash that identifies requests with equal content; the request cannot be derived from it. */
@JvmInline
@Serializable
public value class Fingerprint(
    public val value: Long,
) {
    override fun toString(): String = java.lang.Long.toHexString(value)
}

/**
 * What the fingerprint of one request covers, kept instead of the request. Equal for requests with equal content of the
 * same [caller]. Not thread-safe.
 *
 * @param caller service that the target sees as the caller; it is no part of the [fingerprint]
 */
public class FingerprintInput(
    private val route: RouteId,
    private val method: String,
    private val pathAndQuery: String,
    body: ByteArray,
    private val caller: String = "",
) {
    private val bodyPrefix =
        if (body.size > MAX_FINGERPRINT_BODY_BYTES) body.copyOf(MAX_FINGERPRINT_BODY_BYTES) else body
    private val tailHash = tailHashOf(body)

    /** Computed when first needed, since a hash for each request costs processor time. */
    public val fingerprint: Fingerprint by lazy(LazyThreadSafetyMode.NONE) {
        fingerprintOf(route, method, pathAndQuery, bodyPrefix, tailHash = tailHash)
    }

    /** Key of the caller in messages, equal in all daemons. */
    public val callerKey: Int = caller.hashCode()

    override fun equals(other: Any?): Boolean =
        this === other ||
            (
                other is FingerprintInput &&
                    pathAndQuery == other.pathAndQuery &&
                    method == other.method &&
                    route == other.route &&
                    caller == other.caller &&
                    tailHash == other.tailHash &&
                    bodyPrefix.contentEquals(other.bodyPrefix)
            )

    override fun hashCode(): Int = (pathAndQuery.hashCode() * HASH_PRIME + callerKey) * HASH_PRIME + tailHash.hashCode()

    private companion object {
        const val HASH_PRIME = 31
    }
}

/** Returns a hash of the length of [body] and of what follows its first [MAX_FINGERPRINT_BODY_BYTES]; 0 if nothing does. */
private fun tailHashOf(body: ByteArray): Long {
    if (body.size <= MAX_FINGERPRINT_BODY_BYTES) return 0
    val crc = CRC32C()
    crc.update(body, MAX_FINGERPRINT_BODY_BYTES, body.size - MAX_FINGERPRINT_BODY_BYTES)
    return body.size.toLong() shl Int.SIZE_BITS or crc.value
}

/** Number of body bytes that a fingerprint covers in full; the rest is covered by its length and a checksum. */
public const val MAX_FINGERPRINT_BODY_BYTES: Int = 512

/**
 * Returns the fingerprint of a request, which covers at most the first [MAX_FINGERPRINT_BODY_BYTES] of [bodyPrefix], and
 * the rest of the body by [tailHash].
 *
 * Requests with different home regions have different fingerprints. Daemons that exchange fingerprints must use the
 * same [salt].
 */
public fun fingerprintOf(
    route: RouteId,
    method: String,
    pathAndQuery: String,
    bodyPrefix: ByteArray,
    homeRegions: HomeRegions = HomeRegions.Anywhere,
    salt: String = "",
    tailHash: Long = 0,
): Fingerprint {
    val sha256 = MessageDigest.getInstance("SHA-256")
    for (part in listOf(salt, homeRegionText(homeRegions), route.value, method, pathAndQuery)) {
        sha256.update(part.encodeToByteArray())
        sha256.update(0)
    }
    sha256.update(bodyPrefix, 0, minOf(bodyPrefix.size, MAX_FINGERPRINT_BODY_BYTES))
    if (tailHash != 0L) sha256.update(ByteBuffer.allocate(Long.SIZE_BYTES).putLong(0, tailHash))
    return Fingerprint(
        sha256.digest().take(Long.SIZE_BYTES).fold(0L) { hash, byte ->
            hash shl 8 or
                (byte.toLong() and 0xff)
        },
    )
}

private fun homeRegionText(homeRegions: HomeRegions): String =
    when (homeRegions) {
        HomeRegions.Anywhere -> ""
        is HomeRegions.Only -> homeRegions.regions.map { it.value }.sorted().joinToString(",", "home:")
    }
