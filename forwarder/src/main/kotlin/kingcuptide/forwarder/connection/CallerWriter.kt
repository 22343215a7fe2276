package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import kingcuptide.coordination.process.Clock
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Writes the responses of a connection and closes it so that its caller gets the last one. */
internal class CallerWriter(
    private val context: ChannelHandlerContext,
    private val clock: Clock,
    private val close: () -> Unit,
) {
    private var closingSince: Duration? = null
    private var discardedBytes = 0L

    /** Whether the last response is written. */
    val isClosing: Boolean get() = closingSince != null
    val isWritable: Boolean get() = context.channel().isWritable

    /** Whether the system has taken all bytes of the responses; what it has taken arrives after the end of the process. */
    val isFlushed: Boolean get() = context.channel().pendingBytes == 0L

    /** Returns how long ago the last response was written, or zero if it is not. */
    fun closingFor(): Duration = closingSince?.let { clock.now() - it } ?: Duration.ZERO

    fun write(response: BufferedResponse, closes: Boolean) {
        context.writeAndFlush(encode(response, closes))
        if (closes) closeAfterWrites()
    }

    fun writeContinue() {
        context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
    }

    /** Reads on or stops reading. */
    fun setReading(isReading: Boolean) {
        val config = context.channel().config()
        if (config.isAutoRead != isReading) config.isAutoRead = isReading
    }

    /**
     * Closes the connection once all responses are written. Bytes that arrive until then and shortly after are discarded:
     * to close a connection with unread bytes resets it, and its caller would lose the last response.
     */
    fun closeAfterWrites() {
        closingSince = clock.now()
        setReading(true)
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
            val channel = context.channel() as? DuplexChannel
            if (!it.isSuccess || channel == null || !channel.isActive) return@addListener close()
            channel.shutdownOutput()
            context.executor().schedule(close, LINGER_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    /** Discards what arrives behind the last response. */
    fun discard(message: Any) {
        if (message is ByteBuf) discardedBytes += message.readableBytes()
        ReferenceCountUtil.release(message)
        if (discardedBytes > MAX_DISCARDED_BYTES) close()
    }

    private fun encode(response: BufferedResponse, closes: Boolean): DefaultFullHttpResponse {
        val content = if (response.body.isEmpty()) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(response.body)
        val status = HttpResponseStatus.valueOf(response.status)
        val encoded = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        response.headers.forEach { (name, value) -> encoded.headers().add(name, value) }
        if (response.status !in STATUSES_WITHOUT_BODY) {
            encoded.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body.size)
        }
        // Only the last response may announce the end: others may be in progress behind this one.
        encoded.headers().remove(HttpHeaderNames.CONNECTION)
        if (closes) encoded.headers().set(HttpHeaderNames.CONNECTION, "close")
        return encoded
    }

    private companion object {
        /** Time in which a caller may still send after the end of its last response, and bytes that are discarded then. */
        val LINGER_TIME = 1.seconds
        const val MAX_DISCARDED_BYTES = 4L * 1024 * 1024
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
    }
}
