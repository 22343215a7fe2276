package kingcuptide.daemon.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import kingcuptide.coordination.connection.FrameCodec
import kingcuptide.coordination.process.ResultCode

/** First byte of a connection between daemons; it selects the kind of the frames that follow. */
enum class ConnectionPurpose(
    val byte: Byte,
) {
    REQUESTS('R'.code.toByte()),
    CONTROL('C'.code.toByte()),
    ;

    companion object {
        fun of(byte: Byte): ConnectionPurpose? = entries.firstOrNull { it.byte == byte }
    }
}

/** Reads one length-prefixed payload. The length is checked before the buffer is allocated. */
internal suspend fun ByteReadChannel.readPayload(codec: FrameCodec): Result<ByteArray, ResultCode> {
    val length = codec.checkLength(readInt())
    val size = length.get() ?: return Err(checkNotNull(length.getError()))
    val payload = ByteArray(size)
    readFully(payload)
    return Ok(payload)
}
