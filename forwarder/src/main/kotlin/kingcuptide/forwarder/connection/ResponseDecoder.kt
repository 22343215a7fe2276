package kingcuptide.forwarder.connection

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses of a connection on which one call at a time waits. */
internal class ResponseDecoder(config: HttpDecoderConfig) : HttpResponseDecoder(config) {
    /** Whether the call that waits has the method HEAD, whose responses have no body. */
    var isHeadCall = false

    /** Whether bytes have arrived that are not part of a decoded message. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    override fun isSharable(): Boolean = false

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHeadCall || super.isContentAlwaysEmpty(message)
}
