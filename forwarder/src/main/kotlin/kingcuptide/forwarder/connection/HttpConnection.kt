package kingcuptide.forwarder.connection

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.ConnectException
import java.net.InetSocketAddress
import kotlin.coroutines.resume

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
    private val receiver: ResponseReceiver,
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

    companion object {
        private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")

        /** Opens a connection to [address]. Returns null on failure, after passing its cause to [onFailure]. */
        suspend fun open(
            loop: EventLoop,
            address: InetSocketAddress,
            limits: HttpClientLimits,
            observer: ExchangeObserver = ExchangeObserver.NONE,
            onFailure: (ConnectFailure) -> Unit = {},
        ): HttpConnection? {
            val receiver = ResponseReceiver(limits, observer)
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

        private fun bootstrap(loop: EventLoop, limits: HttpClientLimits, receiver: ResponseReceiver): Bootstrap =
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
