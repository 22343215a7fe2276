package kingcuptide.forwarder.connection

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.CallerLimits
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Puts the requests of a connection together from their decoded parts, within [limits]. */
internal class RequestAssembler(
    private val limits: CallerLimits,
    private val buffers: BufferLimit,
    private val refuseByHead: (CallerRequest) -> BufferedResponse?,
) {
    private var head: HttpRequest? = null
    private var headBytes = 0L
    private var body = ByteArrayOutputStream(INITIAL_BODY_BYTES)
    private var bodyBytes = 0L
    private var bodyStartedAt = Duration.ZERO
    private var reservedBytes = 0

    /** Response to the current request, whose body is discarded; null if it is to be served. */
    private var refusal: BufferedResponse? = null

    /** Whether the head of a request has arrived and its end has not. */
    val isReceiving: Boolean get() = head != null

    /** Returns the bytes of the current request in memory once [part] is added. */
    fun bytesWith(part: HttpObject): Long =
        headBytes + reservedBytes + if (part is HttpContent) part.content().readableBytes() else 0

    /**
     * Returns whether [part] can be added while earlier requests wait for their responses. A caller takes an interim
     * response for one to its first request without a response, so that a request that expects one waits until it is
     * the first. A body for which memory lacks waits for the memory of earlier requests.
     */
    fun canAddBehindOthers(part: HttpObject): Boolean = when (part) {
        is HttpRequest -> !HttpUtil.is100ContinueExpected(part)
        is HttpContent -> refusal != null || buffers.hasRoomFor(part.content().readableBytes())
        else -> true
    }

    /** Adds a part that arrived at [arrivedAt] and was not read until [now], and returns what follows from it. */
    fun add(part: HttpObject, arrivedAt: Duration, now: Duration): Assembled {
        if (part.decoderResult().isFailure) return malformed(part.decoderResult().cause())
        if (part is HttpRequest) begin(part, now)?.let { return it }
        if (part is HttpContent && isReceiving) append(part)?.let { return it }
        if (part is LastHttpContent && isReceiving) return complete(arrivedAt)
        return Assembled.Incomplete
    }

    /** Gives up the current request. */
    fun reset() {
        head = null
        headBytes = 0
        refusal = null
        body = ByteArrayOutputStream(INITIAL_BODY_BYTES)
        buffers.release(reservedBytes)
        reservedBytes = 0
    }

    /** Starts the time for the current body again, since the connection did not read it until [now]. */
    fun restartTime(now: Duration) {
        bodyStartedAt = now
    }

    fun isBodyTooSlow(now: Duration, idleTimeout: Duration): Boolean =
        now - bodyStartedAt > idleTimeout + 1.seconds * (bodyBytes.toDouble() / MIN_BODY_BYTES_PER_SECOND)

    private fun begin(request: HttpRequest, now: Duration): Assembled? {
        bodyStartedAt = now
        bodyBytes = 0
        if (!isWellFormed(request)) return refused(ResultCode.MALFORMED_REQUEST, "malformed request head")
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes) return bodyTooLarge()
        val refused = refuseByHead(callerRequest(request, NO_BYTES, now))
        val expectsContinue = HttpUtil.is100ContinueExpected(request)
        // Whether the caller will send the body is not known then, so the connection can't be used any more.
        if (refused != null && expectsContinue) return Assembled.Unread(refused)
        refusal = refused
        head = request
        headBytes = request.uri().length + request.headers().sumOf { it.key.length + it.value.length }.toLong()
        return Assembled.Continue.takeIf { expectsContinue }
    }

    private fun isWellFormed(request: HttpRequest): Boolean =
        request.uri().startsWith("/") &&
            request.headers().getAll(HttpHeaderNames.HOST).size == 1 &&
            request.protocolVersion() == HttpVersion.HTTP_1_1

    private fun append(content: HttpContent): Assembled? {
        val bytes = content.content()
        val length = bytes.readableBytes()
        bodyBytes += length
        if (bodyBytes > limits.maxBodyBytes) return bodyTooLarge()
        if (refusal != null) return null
        if (!buffers.tryReserve(length)) {
            return refused(ResultCode.ENTRY_FULL, "too many bytes of request bodies are buffered")
        }
        reservedBytes += length
        bytes.readBytes(body, length)
        return null
    }

    /** The memory of the body passes to the returned request. */
    private fun complete(arrivedAt: Duration): Assembled {
        val request = checkNotNull(head)
        val complete =
            Assembled.Complete(
                callerRequest(request, body.toByteArray(), arrivedAt),
                headBytes + reservedBytes,
                reservedBytes,
                HttpUtil.isKeepAlive(request),
                refusal,
            )
        reservedBytes = 0
        reset()
        return complete
    }

    private fun callerRequest(request: HttpRequest, body: ByteArray, arrivedAt: Duration) =
        CallerRequest(
            request.method().name(),
            request.uri(),
            request.headers().map { it.key to it.value },
            body,
            arrivedAt,
        )

    private fun malformed(cause: Throwable): Assembled {
        val tooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        return refused(if (tooLong) ResultCode.HEADERS_TOO_LARGE else ResultCode.MALFORMED_REQUEST, cause.toString())
    }

    private fun bodyTooLarge() = refused(ResultCode.BODY_TOO_LARGE, "request body too large")

    private fun refused(code: ResultCode, reason: String) = Assembled.Refused(code.httpStatus, reason)

    private companion object {
        const val INITIAL_BODY_BYTES = 256

        /** Rate at which a body must arrive on average beyond the idle timeout; the slowest links are faster. */
        const val MIN_BODY_BYTES_PER_SECOND = 1_000.0
    }
}

/** What follows from a part of a request. */
internal sealed interface Assembled {
    /** The request goes on. */
    data object Incomplete : Assembled

    /** The caller waits for an interim response before it sends the body. */
    data object Continue : Assembled

    /**
     * The request is complete.
     *
     * @property bytes its bytes in memory, of which [reservedBytes] are reserved
     * @property refusal the response to it if it is not served
     */
    class Complete(
        val request: CallerRequest,
        val bytes: Long,
        val reservedBytes: Int,
        val keepAlive: Boolean,
        val refusal: BufferedResponse?,
    ) : Assembled

    /** The request gets [response] without its body being read, so that the connection can't be used any more. */
    class Unread(
        val response: BufferedResponse,
    ) : Assembled

    /** The connection can't be read any more. */
    class Refused(
        val status: Int,
        val reason: String,
    ) : Assembled
}
