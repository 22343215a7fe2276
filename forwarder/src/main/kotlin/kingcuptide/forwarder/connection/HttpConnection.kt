package kingcuptide.forwarder.connection

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress
import kotlin.coroutines.resume

/**
 * One connection to an HTTP server, for one call at a time. It never resends a call.
 *
 * A response that the `accepts` of [exchange] rejects belongs to an earlier call and is skipped. Bytes that no call
 * waits for end the connection. Used on its event loop.
 */
class HttpConnection private constructor(
    private val channel: Channel,
    private val receiver: Receiver,
) {
    /** Whether another call may be sent. */
    val isUsable: Boolean get() = channel.isActive && receiver.isReusable && !receiver.isWaiting

    /** Seconds that the server keeps an idle connection open (`Keep-Alive: timeout`), or null if it sent none. */
    val idleLimitSeconds: Int? get() = receiver.idleLimitSeconds

    /** Sends [call] and waits for a response that [accepts]; cancellation closes the connection. */
    suspend fun exchange(call: HttpCall, accepts: (Headers) -> Boolean = { true }): HttpResult {
        if (!isUsable) return HttpResult.NotSent("connection closed")
        return suspendCancellableCoroutine { continuation ->
            receiver.awaitResponse(continuation, accepts)
            continuation.invokeOnCancellation { close() }
            channel.writeAndFlush(requestOf(call)).addListener { sent ->
                if (!sent.isSuccess) receiver.fail("write failed: ${sent.cause()}")
            }
        }
    }

    fun close() {
        receiver.isReusable = false
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
        private val maxResponseBytes: Int,
    ) : ChannelInboundHandlerAdapter() {
        var isReusable = true
        var idleLimitSeconds: Int? = null
        private var waitingCall: CancellableContinuation<HttpResult>? = null
        private var accepts: (Headers) -> Boolean = { true }
        private var head: HttpResponse? = null
        private var headers: Headers = emptyList()
        private var skipping = false
        private val body = ByteArrayOutputStream(INITIAL_BODY_BYTES)

        val isWaiting: Boolean get() = waitingCall != null

        fun awaitResponse(continuation: CancellableContinuation<HttpResult>, accepts: (Headers) -> Boolean) {
            waitingCall = continuation
            this.accepts = accepts
        }

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            try {
                if (message is HttpObject) receive(context, message)
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) = fail("connection closed")

        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            fail("connection failed: $cause")
            context.close()
        }

        fun fail(reason: String) {
            isReusable = false
            val responseStarted = head != null
            head = null
            val continuation = waitingCall ?: return
            waitingCall = null
            if (continuation.isActive) continuation.resume(HttpResult.Broken(reason, responseStarted))
        }

        private fun receive(context: ChannelHandlerContext, message: HttpObject) {
            if (!isReusable) return
            if (message.decoderResult().isFailure || waitingCall == null) {
                fail(if (waitingCall == null) "unexpected bytes" else "malformed response")
                context.close()
                return
            }
            if (message is HttpResponse) begin(message)
            if (message is HttpContent) append(context, message)
            if (message is LastHttpContent) end(context)
        }

        private fun begin(response: HttpResponse) {
            head = response
            headers = response.headers().map { it.key to it.value }
            body.reset()
            skipping = response.status().code() < FIRST_FINAL_STATUS || !accepts(headers)
        }

        private fun append(context: ChannelHandlerContext, content: HttpContent) {
            val bytes = content.content()
            if (skipping || !bytes.isReadable) return
            if (body.size() + bytes.readableBytes() > maxResponseBytes) {
                fail("response too large")
                context.close()
                return
            }
            bytes.readBytes(body, bytes.readableBytes())
        }

        private fun end(context: ChannelHandlerContext) {
            val response = head ?: return
            head = null
            if (!HttpUtil.isKeepAlive(response)) isReusable = false
            if (skipping) {
                if (!isReusable) fail("connection closed after a response to another call")
                return
            }
            recordIdleLimit(response)
            val continuation = waitingCall ?: return
            waitingCall = null
            if (!isReusable) context.close()
            val buffered = BufferedResponse(response.status().code(), headers, body.toByteArray())
            if (continuation.isActive) continuation.resume(HttpResult.Answered(buffered))
        }

        private fun recordIdleLimit(response: HttpResponse) {
            val value = response.headers().get(KEEP_ALIVE_HEADER) ?: return
            idleLimitSeconds = KEEP_ALIVE_TIMEOUT.find(value)?.groupValues?.get(1)?.toIntOrNull() ?: return
        }
    }

    companion object {
        private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
        private val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
        private const val KEEP_ALIVE_HEADER = "Keep-Alive"
        private const val FIRST_FINAL_STATUS = 200
        private const val INITIAL_BODY_BYTES = 1_024
        private const val MAX_LINE_BYTES = 8_192
        private const val MAX_HEAD_BYTES = 65_536

        /** Opens a connection to [address]. Returns null on failure, after passing the reason to [onFailure]. */
        suspend fun open(
            loop: EventLoop,
            address: InetSocketAddress,
            limits: HttpClientLimits,
            onFailure: (String) -> Unit = {},
        ): HttpConnection? {
            val receiver = Receiver(limits.maxResponseBytes)
            val connecting = bootstrap(loop, limits, receiver).connect(address)
            return suspendCancellableCoroutine { continuation ->
                continuation.invokeOnCancellation { connecting.channel().close() }
                connecting.addListener { done ->
                    val channel = (done as ChannelFuture).channel()
                    if (!done.isSuccess) onFailure(done.cause().toString())
                    if (!continuation.isActive) return@addListener
                    continuation.resume(if (done.isSuccess) HttpConnection(channel, receiver) else null)
                }
            }
        }

        private fun decoderLimits(): HttpDecoderConfig =
            HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEAD_BYTES)

        private fun bootstrap(loop: EventLoop, limits: HttpClientLimits, receiver: Receiver): Bootstrap =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeout.inWholeMilliseconds.toInt())
                .handler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) {
                            channel.pipeline().addLast(
                                HttpClientCodec(decoderLimits(), false, false),
                                receiver,
                            )
                        }
                    },
                )
    }
}
