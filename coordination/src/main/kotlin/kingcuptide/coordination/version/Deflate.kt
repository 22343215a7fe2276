package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.ResultCode
import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

internal fun deflate(bytes: ByteArray): ByteArray {
    val deflater = Deflater()
    try {
        deflater.setInput(bytes)
        deflater.finish()
        return drain(Int.MAX_VALUE) { buffer -> deflater.deflate(buffer) }.toByteArray()
    } finally {
        deflater.end()
    }
}

/**
 * Decompresses [bytes].
 *
 * Returns [ResultCode.PEER_FRAME_TOO_LARGE] as soon as the result exceeds [maxBytes], and
 * [ResultCode.PEER_FRAME_MALFORMED] if [bytes] are not exactly one deflate stream.
 */
internal fun inflate(bytes: ByteArray, maxBytes: Int): Result<ByteArray, ResultCode> {
    val inflater = Inflater()
    return try {
        inflater.setInput(bytes)
        val inflated = drain(maxBytes) { buffer -> inflater.inflate(buffer) }
        when {
            inflated.size() > maxBytes -> Err(ResultCode.PEER_FRAME_TOO_LARGE)
            !inflater.finished() || inflater.remaining > 0 -> Err(ResultCode.PEER_FRAME_MALFORMED)
            else -> Ok(inflated.toByteArray())
        }
    } catch (_: DataFormatException) {
        Err(ResultCode.PEER_FRAME_MALFORMED)
    } finally {
        inflater.end()
    }
}

private fun drain(maxBytes: Int, next: (ByteArray) -> Int): ByteArrayOutputStream {
    val output = ByteArrayOutputStream()
    val buffer = ByteArray(BUFFER_BYTES)
    while (output.size() <= maxBytes) {
        val count = next(buffer)
        if (count == 0) break
        output.write(buffer, 0, count)
    }
    return output
}

private const val BUFFER_BYTES = 8_192
