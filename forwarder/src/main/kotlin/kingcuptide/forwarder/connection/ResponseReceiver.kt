package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellableContinuation
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration.Companion.seconds

/** Decodes what a server sends on a connection, and passes the response to the call that waits. Used on its event loop. */
internal class ResponseReceiver(
    private val limits: HttpClientLimits,
    private val observer: ExchangeObserver,
) : ChannelInboundHandlerAdapter() {
    var isReusable = true
    var idleLimitSeconds: Int? = null
    var onIdleEnd: () -> Unit = {}
    private var waitingCall: CancellableContinuation<HttpResult>? = null
    private var accepts: (Headers) -> Boolean = { true }
    private var head: HttpResponse? = null
    private var headers: Headers = emptyList()
    private var skipping = false
    private var callHeaders: Headers = emptyList()
    private var reads = 0L
    private var lastEndRead = 0L
    private var skippedOther: SkippedHead? = null
    private var skippedResponses = 0
    private var hasOtherResponses = false
    private var receivedBytes = 0L
    private var headTimer: Future<*>? = null
    private var body = BodyBuffer()

    /** The result of [waitingCall], until all that was read with its last byte is decoded. */
    private var completed: HttpResult.Answered? = null
    val decoder = ResponseDecoder(decoderLimits())
    private val maxReceivedBytes = limits.maxResponseBytes * FRAMING_FACTOR + MAX_HEADS_BYTES

    val isWaiting: Boolean get() = waitingCall != null

    /** Whether no call waits for the bytes that arrive. */
    private val hasNoCall: Boolean get() = waitingCall == null || completed != null
    private val isAwaitingHead: Boolean get() = !hasNoCall && (head == null || skipping)

    /** Counts the bytes of a call before they are decoded, since the decoder skips some and never ends others. */
    val byteHandler =
        object : ChannelInboundHandlerAdapter() {
            override fun isSharable(): Boolean = false

            override fun channelRead(context: ChannelHandlerContext, message: Any) {
                reads++
                if (message is ByteBuf && !canReceive(context, message.readableBytes())) {
                    message.release()
                } else {
                    context.fireChannelRead(message)
                }
            }
        }

    fun awaitResponse(
        continuation: CancellableContinuation<HttpResult>,
        call: HttpCall,
        accepts: (Headers) -> Boolean,
    ) {
        waitingCall = continuation
        callHeaders = call.headers
        decoder.isHeadCall = call.method == HttpMethod.HEAD.name()
        this.accepts = accepts
        receivedBytes = 0
        skippedResponses = 0
    }

    /** The connection is closed without a result. */
    fun abandon() {
        isReusable = false
        stopHeadTimer()
        releaseBody()
        reportSkippedOther(isComplete = false)
    }

    override fun isSharable(): Boolean = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) receive(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** A call that was sent before would take the bytes behind the response for those of its own. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (isReusable && hasNoCall && decoder.hasUnreadBytes) endUnexpected(context, null)
        val result = completed
        if (result != null) {
            val closes = !isReusable
            resume(result)
            if (closes) context.close()
        }
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) = connectionLost("connection closed")

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        connectionLost("connection failed: $cause")
        context.close()
    }

    private fun connectionLost(reason: String) {
        val isIdle = isReusable && !isWaiting
        fail(reason)
        if (isIdle) onIdleEnd()
    }

    fun fail(reason: String, responseStarted: Boolean = head != null, isConnectionLost: Boolean = true) {
        abandon()
        head = null
        resume(completed ?: HttpResult.Broken(reason, responseStarted, isConnectionLost))
    }

    private fun resume(result: HttpResult) {
        val continuation = waitingCall ?: return
        waitingCall = null
        completed = null
        if (continuation.isActive) continuation.resume(result)
    }

    /** Ends the connection for what the server has sent on it, unless that was cut off with the connection. */
    private fun breakOff(context: ChannelHandlerContext, reason: String) {
        fail(reason, responseStarted = receivedBytes > 0, isConnectionLost = !context.channel().isActive)
        context.close()
    }

    private fun canReceive(context: ChannelHandlerContext, bytes: Int): Boolean {
        if (!isReusable) return false
        receivedBytes += bytes
        if (receivedBytes > maxReceivedBytes) {
            breakOff(context, "no end of a response after $receivedBytes bytes")
            return false
        }
        if (isAwaitingHead && headTimer == null) startHeadTimer(context)
        return true
    }

    /** No call waits for what arrives: the connection is not used again, but a response that is complete holds. */
    private fun endUnexpected(context: ChannelHandlerContext, message: HttpObject?) {
        reportUnexpected(message)
        isReusable = false
        if (completed == null) breakOff(context, "unexpected bytes")
    }

    /** A server sends a head at once when it has it, so one that arrives slowly has no end. */
    private fun startHeadTimer(context: ChannelHandlerContext) {
        val timeOut = { breakOff(context, "no complete head in $HEAD_TIMEOUT") }
        headTimer = context.executor().schedule(timeOut, HEAD_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun stopHeadTimer() {
        headTimer?.cancel(false)
        headTimer = null
    }

    private fun receive(context: ChannelHandlerContext, message: HttpObject) {
        if (!isReusable) return
        if (hasNoCall) return endUnexpected(context, message)
        val decoded = message.decoderResult()
        if (decoded.isFailure) return breakOff(context, "malformed response: ${decoded.cause().message}")
        if (message is HttpResponse) begin(context, message)
        if (message is HttpContent) append(context, message)
        if (message is LastHttpContent) end(context)
    }

    private fun begin(context: ChannelHandlerContext, response: HttpResponse) {
        head = response
        headers = response.headers().map { it.key to it.value }
        val isInterim = response.status().code() < FIRST_FINAL_STATUS
        val isOther = !isInterim && !accepts(headers)
        skipping = isInterim || isOther
        hasOtherResponses = hasOtherResponses || isOther
        skippedOther = if (isOther) SkippedHead(isSameRead = reads == lastEndRead) else null
        when {
            response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS ->
                breakOff(context, "switches to another protocol")
            isOther && decoder.isHeadCall ->
                breakOff(context, "response to another call, which may have a body, before one without")
            skipping && ++skippedResponses > MAX_SKIPPED_RESPONSES ->
                breakOff(context, "no response after $skippedResponses that are interim or of other calls")
            !skipping -> stopHeadTimer()
        }
    }

    private fun append(context: ChannelHandlerContext, content: HttpContent) {
        val bytes = content.content()
        skippedOther?.let { it.bodyBytes += bytes.readableBytes() }
        if (head == null || skipping || !bytes.isReadable) return
        val length = bytes.readableBytes()
        if (body.size + length > limits.maxResponseBytes) return breakOff(context, "response too large")
        if (!limits.buffers.tryReserve(length)) return breakOff(context, "too many bytes of responses are buffered")
        body.append(bytes)
    }

    private fun end(context: ChannelHandlerContext) {
        val response = head ?: return
        reportSkippedOther(isComplete = true)
        head = null
        if (response.status().code() >= FIRST_FINAL_STATUS) lastEndRead = reads
        if (!HttpUtil.isKeepAlive(response)) isReusable = false
        if (skipping) {
            stopHeadTimer()
            if (!isReusable) breakOff(context, "connection closed after a response to another call")
            return
        }
        // A copy of a response to a HEAD call would take the next response for its body.
        if (hasOtherResponses || decoder.isHeadCall) isReusable = false
        recordIdleLimit(response)
        completed = HttpResult.Answered(BufferedResponse(response.status().code(), headers, body.toByteArray()))
        releaseBody()
    }

    private fun reportSkippedOther(isComplete: Boolean) {
        val skipped = skippedOther ?: return
        val status = head?.status()?.code()
        skippedOther = null
        observer.skipped(
            SkippedResponse(
                SkipReason.OTHER_CALL,
                callHeaders,
                status,
                headers,
                skipped.bodyBytes,
                isComplete,
                skipped.isSameRead,
            ),
        )
    }

    private fun reportUnexpected(message: HttpObject?) {
        val response = (message as? HttpResponse)?.takeIf { it.decoderResult().isSuccess }
        observer.skipped(
            SkippedResponse(
                SkipReason.NO_CALL,
                callHeaders,
                response?.status()?.code(),
                response?.headers()?.map { it.key to it.value }.orEmpty(),
                response?.headers()?.get(HttpHeaderNames.CONTENT_LENGTH)?.toLongOrNull(),
                isComplete = false,
                isSameRead = reads == lastEndRead,
            ),
        )
    }

    /** A new buffer each time, since one that has grown would be kept as long as its connection. */
    private fun releaseBody() {
        limits.buffers.release(body.size)
        body = BodyBuffer()
    }

    private fun recordIdleLimit(response: HttpResponse) {
        val value = response.headers().get(KEEP_ALIVE_HEADER) ?: return
        idleLimitSeconds = KEEP_ALIVE_TIMEOUT.find(value)?.groupValues?.get(1)?.toIntOrNull() ?: return
    }

    private class SkippedHead(val isSameRead: Boolean) {
        var bodyBytes = 0L
    }

    private companion object {
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
        const val KEEP_ALIVE_HEADER = "Keep-Alive"
        const val FIRST_FINAL_STATUS = 200
        const val MAX_LINE_BYTES = 8_192
        const val MAX_HEAD_BYTES = 65_536

        /** Bytes on the wire for each byte of the longest body: small chunks need as much again for their framing. */
        const val FRAMING_FACTOR = 2L

        /** Bytes on the wire for heads: those of interim responses, of the response and of its trailers. */
        const val MAX_HEADS_BYTES = 4L * MAX_HEAD_BYTES

        /** Interim responses, and responses to earlier calls, before the response to a call. */
        const val MAX_SKIPPED_RESPONSES = 16

        /** Time from the first byte of a head to its last, and to the end of a response to an earlier call. */
        val HEAD_TIMEOUT = 1.seconds

        fun decoderLimits(): HttpDecoderConfig =
            HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEAD_BYTES)
    }
}
