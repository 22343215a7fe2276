package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses of a connection on which one call at a time waits. */
internal class ResponseDecoder(config: HttpDecoderConfig) : HttpResponseDecoder(config) {
    /** Whether the call that waits has the method HEAD, whose responses have no body. */
    var isHeadCall = false

    /** Whether the first line of a head was decoded, of which the rest has not arrived. */
    private var isInHead = false

    /** Whether bytes have arrived that are not part of a decoded message. */
    val hasUnreadBytes: Boolean get() = isInHead || actualReadableBytes() > 0

    override fun isSharable(): Boolean = false

    /** An exception makes the message one that can't be decoded. */
    override fun createMessage(initialLine: Array<out String>): HttpMessage {
        isInHead = true
        require(isHttpStatus(initialLine[STATUS_INDEX])) { "no HTTP status: ${initialLine[STATUS_INDEX]}" }
        return super.createMessage(initialLine)
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(context, buffer, out)
        if (out.isNotEmpty()) isInHead = false
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHeadCall || super.isContentAlwaysEmpty(message)

    private companion object {
        /** Index of the status in the parts of a status line. */
        const val STATUS_INDEX = 1
    }
}
