package kingcuptide.forwarder.connection

import java.util.Locale
import kotlin.time.Duration

/** Headers in order, names as they came. */
typealias Headers = List<Pair<String, String>>

/** Returns the first value of [name], or null. */
fun Headers.first(name: String): String? = firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

/** Returns those that concern more than one connection. */
fun endToEnd(headers: Headers): Headers {
    val named =
        headers
            .filter { it.first.equals("Connection", ignoreCase = true) }
            .flatMap { it.second.split(',') }
            .map { it.trim().lowercase(Locale.ROOT) }
    return headers.filter { (name, _) ->
        val lower = name.lowercase(Locale.ROOT)
        lower !in ONE_CONNECTION && lower !in named
    }
}

private val ONE_CONNECTION =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )

/** A request as it is sent. [headers] frame no body: that is done when it is written. */
class HttpCall(
    val method: String,
    val target: String,
    val headers: Headers,
    val body: ByteArray = NO_BYTES,
)

/** A whole answer. */
class BufferedResponse(
    val status: Int,
    val headers: Headers,
    val body: ByteArray,
)

/** How a call ended. */
sealed interface HttpResult {
    /** The whole answer came. */
    data class Answered(
        val response: BufferedResponse,
    ) : HttpResult

    /** No byte of the call left this process. */
    data class NotSent(
        val reason: String,
    ) : HttpResult

    /** The call may have arrived, and no whole answer came. [begun] tells whether a part of one did. */
    data class Broken(
        val reason: String,
        val begun: Boolean,
    ) : HttpResult
}

/** Bounds of a connection to an HTTP server. */
data class HttpClientLimits(
    val connectTimeout: Duration,
    val maxResponseBytes: Int,
)

internal val NO_BYTES = ByteArray(0)
