package kingcuptide.forwarder.connection

import java.util.Locale
import kotlin.time.Duration

/** Headers in their order, with names as received. */
typealias Headers = List<Pair<String, String>>

/** Returns the first value of [name], or null. */
fun Headers.first(name: String): String? = firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

/** Returns [headers] without the hop-by-hop ones. */
fun endToEnd(headers: Headers): Headers {
    val connectionOptions =
        headers
            .filter { it.first.equals("Connection", ignoreCase = true) }
            .flatMap { it.second.split(',') }
            .map { it.trim().lowercase(Locale.ROOT) }
    return headers.filter { (name, _) ->
        val lower = name.lowercase(Locale.ROOT)
        lower !in HOP_BY_HOP_HEADERS && lower !in connectionOptions
    }
}

private val HOP_BY_HOP_HEADERS =
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

/**
 * A request to send. [headers] have no body framing, such as Content-Length: that is added on writing.
 *
 * @property id what tells its response from those to other calls, or null if the server does not send it back
 * @property onSend called when it is written to a connection
 */
class HttpCall(
    val method: String,
    val target: String,
    val headers: Headers,
    val body: ByteArray = NO_BYTES,
    val id: String? = null,
    val onSend: () -> Unit = {},
)

/** A complete response, buffered in memory. */
class BufferedResponse(
    val status: Int,
    val headers: Headers,
    val body: ByteArray,
)

/** Why there is no connection for a call; [isRefused] means that the host of the server responded that nobody listens. */
data class ConnectFailure(
    val reason: String,
    val isRefused: Boolean = false,
)

/** Result of an HTTP call. */
sealed interface HttpResult {
    /** The complete response has arrived; [endsConnection]: no other call can be sent on its connection. */
    data class Answered(
        val response: BufferedResponse,
        val endsConnection: Boolean = false,
    ) : HttpResult

    /** No byte of the call left this process. */
    data class NotSent(
        val failure: ConnectFailure,
    ) : HttpResult

    /**
     * The server may have received the call, but no complete response arrived.
     *
     * @property responseStarted whether a part of a response did
     * @property isConnectionLost whether the connection ended by itself, and not for what the server has sent on it
     */
    data class Broken(
        val reason: String,
        val responseStarted: Boolean,
        val isConnectionLost: Boolean,
    ) : HttpResult
}

/**
 * Limits of a connection to an HTTP server.
 *
 * @property maxResponseBytes greatest length of the body of a response
 * @property buffers limit of the bodies that several connections buffer together
 */
data class HttpClientLimits(
    val connectTimeout: Duration,
    val maxResponseBytes: Int,
    val buffers: BufferLimit = BufferLimit(Long.MAX_VALUE),
)

/** Counts the bytes that several connections buffer, of which there may be [maxBytes]. Used on one event loop. */
class BufferLimit(private val maxBytes: Long) {
    private var usedBytes = 0L

    /** Returns whether [bytes] can be reserved now. */
    fun hasRoomFor(bytes: Int): Boolean = bytes <= maxBytes - usedBytes

    /** Reserves [bytes] and returns true, or returns false if they are too many. */
    fun tryReserve(bytes: Int): Boolean {
        if (!hasRoomFor(bytes)) return false
        usedBytes += bytes
        return true
    }

    fun release(bytes: Int) {
        usedBytes -= bytes
    }
}

internal val NO_BYTES = ByteArray(0)
