package kingcuptide.forwarder.connection

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Rejects requests with ambiguous framing, which would allow request smuggling. */
internal class StrictRequestDecoder(maxHeadBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeadBytes)
            .setMaxHeaderSize(maxHeadBytes)
            .setAllowDuplicateContentLengths(false)
            .setValidateHeaders(true),
    ) {
    override fun isSharable(): Boolean = false

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("request has both Content-Length and Transfer-Encoding: chunked")
}
