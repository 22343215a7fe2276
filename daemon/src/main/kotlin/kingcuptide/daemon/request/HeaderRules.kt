package kingcuptide.daemon.request

import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import kingcuptide.coordination.connection.Header

/** Names of the headers that kingcuptide reads or writes. */
object KingcuptideHeaders {
    /** Caller's workspace. */
    const val WORKSPACE = "Kingcuptide-Workspace"

    /** Timeout of the caller in milliseconds; the target receives the remaining time. */
    const val TIMEOUT_MS = "Kingcuptide-Timeout-Ms"

    /** Number of the result code of a refusal. */
    const val CODE = "Kingcuptide-Code"

    /** `not-run` or `unknown`, on a refusal. */
    const val OUTCOME = "Kingcuptide-Outcome"

    /** Number of the document that the request was routed by. */
    const val VERSION = "Kingcuptide-Version"

    /** Comma-separated regions that may serve the request, on a refusal for its region. */
    const val HOME_REGIONS = "Kingcuptide-Home-Regions"

    /** Key of a request that may not run twice. */
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
}

/** Returns all headers except those of a single connection (hop-by-hop). */
internal fun Headers.endToEnd(): List<Header> =
    entries()
        .filterNot { (name, _) -> name.lowercase() in connectionHeaders }
        .flatMap { (name, values) -> values.map { Header(name, it) } }

private val connectionHeaders =
    setOf(
        HttpHeaders.Connection,
        "Keep-Alive",
        HttpHeaders.ProxyAuthenticate,
        HttpHeaders.ProxyAuthorization,
        HttpHeaders.TE,
        HttpHeaders.Trailer,
        HttpHeaders.TransferEncoding,
        HttpHeaders.Upgrade,
        HttpHeaders.Expect,
        HttpHeaders.Host,
        KingcuptideHeaders.TIMEOUT_MS,
    ).map { it.lowercase() }.toSet()
