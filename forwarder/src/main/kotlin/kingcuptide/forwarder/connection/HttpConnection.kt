package kingcuptide.forwarder.connection

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.ByteArrayOutputStream
import java.net.ConnectException
import java.net.InetSocketAddress
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration.Companion.seconds

/**
 * One connection to an HTTP server, for one call at a time. It never resends a call.
 *
 * A response that the `accepts` of [exchange] rejects belongs to an earlier call and is skipped, and the connection is
 * not used for another call. Bytes that no call waits for end the connection, also those that arrive together with a
 * response, and so does a response that is too long or whose head takes too long; other limits of time are those of the
 * caller, who cancels. Used on its event loop.
 */
class HttpConnection private constructor(
    private val channel: Channel,
    private val receiver: Receiver,
) {
    /** Whether another call may be sent. */
    val isUsable: Boolean get() = channel.isActive && receiver.isReusable && !receiver.isWaiting

    /** Seconds that the server keeps an idle connection open (`Keep-Alive: timeout`), or null if it sent none. */
    val idleLimitSeconds: Int? get() = receiver.idleLimitSeconds

    private val sentIds = RecentIds()

    /**
     * Whether another call with the id of [call] was sent recently, whose response can't be told from that to [call]. May be
     * true without one.
     */
    fun mayHaveSentIdOf(call: HttpCall): Boolean = call.id != null && call.id in sentIds

    /** Calls [action] once if the connection ends by itself while no call waits on it. */
    fun onIdleEnd(action: () -> Unit) {
        receiver.onIdleEnd = action
    }

    /** Sends [call] and waits for a response that [accepts]; cancellation closes the connection. */
    suspend fun exchange(call: HttpCall, accepts: (Headers) -> Boolean = { true }): HttpResult {
        if (!isUsable) return HttpResult.NotSent(ConnectFailure("connection closed"))
        val request = requestOf(call)
        call.id?.let(sentIds::add)
        return suspendCancellableCoroutine { continuation ->
            receiver.awaitResponse(continuation, call, accepts)
            continuation.invokeOnCancellation { close() }
            call.onSend()
            channel.writeAndFlush(request).addListener { sent ->
                if (!sent.isSuccess) receiver.fail("write failed: ${sent.cause()}")
            }
        }
    }

    fun close() {
        receiver.abandon()
        channel.close()
    }

    private fun requestOf(call: HttpCall): DefaultFullHttpRequest {
        val body = if (call.body.isEmpty()) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(call.body)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method), call.target, body)
        call.headers.forEach { (name, value) -> request.headers().add(name, value) }
        if (call.body.isNotEmpty() || call.method in METHODS_WITH_BODY) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
        }
        return request
    }

    private class Receiver(
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
        private var body = ByteArrayOutputStream(INITIAL_BODY_BYTES)

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
            if (message.decoderResult().isFailure) return breakOff(context, "malformed response")
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
            if (body.size() + length > limits.maxResponseBytes) return breakOff(context, "response too large")
            if (!limits.buffers.tryReserve(length)) return breakOff(context, "too many bytes of responses are buffered")
            bytes.readBytes(body, length)
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
            limits.buffers.release(body.size())
            body = ByteArrayOutputStream(INITIAL_BODY_BYTES)
        }

        private fun recordIdleLimit(response: HttpResponse) {
            val value = response.headers().get(KEEP_ALIVE_HEADER) ?: return
            idleLimitSeconds = KEEP_ALIVE_TIMEOUT.find(value)?.groupValues?.get(1)?.toIntOrNull() ?: return
        }
    }

    private class SkippedHead(val isSameRead: Boolean) {
        var bodyBytes = 0L
    }

    companion object {
        private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
        private val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
        private const val KEEP_ALIVE_HEADER = "Keep-Alive"
        private const val FIRST_FINAL_STATUS = 200
        private const val INITIAL_BODY_BYTES = 1_024
        private const val MAX_LINE_BYTES = 8_192
        private const val MAX_HEAD_BYTES = 65_536

        /** Bytes on the wire for each byte of the longest body: small chunks need as much again for their framing. */
        private const val FRAMING_FACTOR = 2L

        /** Bytes on the wire for heads: those of interim responses, of the response and of its trailers. */
        private const val MAX_HEADS_BYTES = 4L * MAX_HEAD_BYTES

        /** Interim responses, and responses to earlier calls, before the response to a call. */
        private const val MAX_SKIPPED_RESPONSES = 16

        /** Time from the first byte of a head to its last, and to the end of a response to an earlier call. */
        private val HEAD_TIMEOUT = 1.seconds

        /** Opens a connection to [address]. Returns null on failure, after passing its cause to [onFailure]. */
        suspend fun open(
            loop: EventLoop,
            address: InetSocketAddress,
            limits: HttpClientLimits,
            observer: ExchangeObserver = ExchangeObserver.NONE,
            onFailure: (ConnectFailure) -> Unit = {},
        ): HttpConnection? {
            val receiver = Receiver(limits, observer)
            val connecting = bootstrap(loop, limits, receiver).connect(address)
            return suspendCancellableCoroutine { continuation ->
                continuation.invokeOnCancellation { connecting.channel().close() }
                connecting.addListener { done ->
                    val channel = (done as ChannelFuture).channel()
                    if (!done.isSuccess) onFailure(failureOf(done.cause()))
                    if (!continuation.isActive) return@addListener
                    continuation.resume(if (done.isSuccess) HttpConnection(channel, receiver) else null)
                }
            }
        }

        private fun failureOf(cause: Throwable) =
            ConnectFailure(cause.toString(), isRefused = cause is ConnectException && cause !is ConnectTimeoutException)

        private fun decoderLimits(): HttpDecoderConfig =
            HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEAD_BYTES)

        private fun bootstrap(loop: EventLoop, limits: HttpClientLimits, receiver: Receiver): Bootstrap =
            Bootstrap()
                .group(loop)
                .channelFactory { NioSocketChannel() }
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeout.inWholeMilliseconds.toInt())
                .handler(
                    PipelineInitializer { channel ->
                        channel.pipeline().addLast(
                            receiver.byteHandler,
                            receiver.decoder,
                            HttpRequestEncoder(),
                            receiver,
                        )
                    },
                )
    }
}
