package kingcuptide.forwarder.connection

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Refuses requests that another server might frame differently, so that none can hide in the body of another. */
internal class StrictRequestDecoder(maxHeadBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeadBytes)
            .setMaxHeaderSize(maxHeadBytes)
            .setAllowDuplicateContentLengths(false)
            .setValidateHeaders(true),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both a length and chunks")
}
