package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** Names requests that look the same: a hash that carries nothing of the request itself. */
@JvmInline
@Serializable
public value class Fingerprint(
    public val value: Long,
) {
    override fun toString(): String = java.lang.Long.toHexString(value)
}

/** Greatest number of body bytes that a fingerprint covers. */
public const val FINGERPRINT_BODY_BYTES: Int = 512

/**
 * Returns the fingerprint of a request. Only the first [FINGERPRINT_BODY_BYTES] of [bodyPrefix] count. Requests with other
 * home regions have other fingerprints; [salt] is the same in all daemons that are to recognise each other's.
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
    for (part in listOf(salt, homeNames(homeRegions), route.value, method, pathAndQuery)) {
        sha256.update(part.encodeToByteArray())
        sha256.update(0)
    }
    sha256.update(bodyPrefix, 0, minOf(bodyPrefix.size, FINGERPRINT_BODY_BYTES))
    return Fingerprint(
        sha256.digest().take(Long.SIZE_BYTES).fold(0L) { hash, byte ->
            hash shl 8 or
                (byte.toLong() and 0xff)
        },
    )
}

private fun homeNames(homeRegions: HomeRegions): String =
    when (homeRegions) {
        HomeRegions.Anywhere -> ""
        is HomeRegions.Only -> homeRegions.regions.map { it.value }.sorted().joinToString(",", "home:")
    }
