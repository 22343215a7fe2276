package kingcuptide.daemon.request

import java.security.MessageDigest

/** Names an idempotency key without keeping it: the same key of another tenant or route has another hash. */
internal fun keyHashOf(request: EntryRequest, key: String): String {
    val sha256 = MessageDigest.getInstance("SHA-256")
    for (part in listOf(request.tenant?.value.orEmpty(), request.routeId.value, key)) {
        sha256.update(part.encodeToByteArray())
        sha256.update(0)
    }
    return sha256.digest().take(KEY_HASH_BYTES).joinToString("") { "%02x".format(it) }
}

private const val KEY_HASH_BYTES = 16
