package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kingcuptide.coordination.process.ResultCode
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** Turns contents and differences into compressed bytes for peers, and back. */
public interface PayloadCodec {
    /** Encodes [content] so that a receiver needs no base. */
    public fun encodeWhole(content: ResourceContent): ByteArray

    /** Encodes [delta] for a receiver that holds its base. */
    public fun encodeDelta(delta: ResourceDelta): ByteArray

    /** Decodes what [encodeWhole] made. The digest is computed anew from the entries. */
    public fun decodeWhole(bytes: ByteArray): Result<ResourceContent, ResultCode>

    /** Decodes what [encodeDelta] made, and applies it to a copy of [base]. */
    public fun decodeDelta(base: ResourceContent, bytes: ByteArray): Result<ResourceContent, ResultCode>
}

/** Returns the codec that daemons use: CBOR, compressed with deflate. Thread-safe. */
public fun deflatePayloadCodec(): PayloadCodec = DeflatePayloadCodec

private object DeflatePayloadCodec : PayloadCodec {
    private val cbor = Cbor { }

    override fun encodeWhole(content: ResourceContent): ByteArray {
        val whole = WholePayload(content.kind, content.version.number, content.entries)
        return deflate(cbor.encodeToByteArray(whole))
    }

    override fun encodeDelta(delta: ResourceDelta): ByteArray = deflate(cbor.encodeToByteArray(delta))

    override fun decodeWhole(bytes: ByteArray): Result<ResourceContent, ResultCode> =
        decode<WholePayload>(bytes).andThen { Ok(ResourceContent.of(it.kind, it.number, it.entries)) }

    override fun decodeDelta(base: ResourceContent, bytes: ByteArray): Result<ResourceContent, ResultCode> =
        decode<ResourceDelta>(bytes).andThen { base.apply(it) }

    private inline fun <reified T> decode(bytes: ByteArray): Result<T, ResultCode> =
        inflate(bytes).andThen {
            try {
                Ok(cbor.decodeFromByteArray<T>(it))
            } catch (_: IllegalArgumentException) {
                Err(ResultCode.PEER_FRAME_MALFORMED)
            }
        }
}

@Serializable
private data class WholePayload(
    val kind: ResourceKind,
    val number: Long,
    val entries: Map<String, String>,
)

private fun deflate(bytes: ByteArray): ByteArray {
    val deflater = Deflater(Deflater.DEFAULT_COMPRESSION, true)
    try {
        deflater.setInput(bytes)
        deflater.finish()
        val output = ByteArrayOutputStream(bytes.size / 4 + CHUNK_BYTES)
        val chunk = ByteArray(CHUNK_BYTES)
        while (!deflater.finished()) output.write(chunk, 0, deflater.deflate(chunk))
        return output.toByteArray()
    } finally {
        deflater.end()
    }
}

private fun inflate(bytes: ByteArray): Result<ByteArray, ResultCode> {
    val inflater = Inflater(true)
    try {
        inflater.setInput(bytes)
        val output = ByteArrayOutputStream(bytes.size * 2)
        val chunk = ByteArray(CHUNK_BYTES)
        while (!inflater.finished()) {
            val count = inflater.inflate(chunk)
            if (count == 0) return Err(ResultCode.PEER_FRAME_MALFORMED)
            output.write(chunk, 0, count)
            if (output.size() > MAX_INFLATED_BYTES) return Err(ResultCode.PEER_FRAME_TOO_LARGE)
        }
        return Ok(output.toByteArray())
    } catch (_: DataFormatException) {
        return Err(ResultCode.PEER_FRAME_MALFORMED)
    } finally {
        inflater.end()
    }
}

private const val CHUNK_BYTES = 8_192
private const val MAX_INFLATED_BYTES = 4 * 1_048_576
