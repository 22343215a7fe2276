package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** Hash that identifies requests with equal content; the request cannot be derived from it. */
@JvmInline
@Serializable
public value class Fingerprint(
    public val value: Long,
) {
    override fun toString(): String = java.lang.Long.toHexString(value)
}

/** What the fingerprint of one request covers, kept instead of the request. Not thread-safe. */
public class FingerprintInput(
    private val route: RouteId,
    private val method: String,
    private val pathAndQuery: String,
    body: ByteArray,
) {
    private val bodyPrefix =
        if (body.size > MAX_FINGERPRINT_BODY_BYTES) body.copyOf(MAX_FINGERPRINT_BODY_BYTES) else body

    /** Computed when first needed, since a hash for each request costs processor time. */
    public val fingerprint: Fingerprint by lazy(LazyThreadSafetyMode.NONE) {
        fingerprintOf(route, method, pathAndQuery, bodyPrefix)
    }
}

/** Maximum number of body bytes that a fingerprint covers. */
public const val MAX_FINGERPRINT_BODY_BYTES: Int = 512

/**
 * Returns the fingerprint of a request, which covers at most the first [MAX_FINGERPRINT_BODY_BYTES] of [bodyPrefix].
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
): Fingerprint {
    val sha256 = MessageDigest.getInstance("SHA-256")
    for (part in listOf(salt, homeRegionText(homeRegions), route.value, method, pathAndQuery)) {
        sha256.update(part.encodeToByteArray())
        sha256.update(0)
    }
    sha256.update(bodyPrefix, 0, minOf(bodyPrefix.size, MAX_FINGERPRINT_BODY_BYTES))
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
