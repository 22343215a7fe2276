package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kingcuptide.coordination.process.ResultCode
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** Maximum size of a payload that is decoded, in bytes after decompression. */
internal const val MAX_INFLATED_BYTES: Int = 8_388_608

/** Encodes a whole [content] for a peer. */
internal fun packWhole(content: ResourceContent): ByteArray =
    pack(WholePayload.serializer(), WholePayload(content.kind, content.version, content.entries))

/** Encodes a delta for a peer. */
internal fun packDelta(delta: ResourceDelta): ByteArray = pack(ResourceDelta.serializer(), delta)

/** Decodes the result of [packWhole]. The digest is checked, so that a corrupt payload is never accepted. */
internal fun unpackWhole(bytes: ByteArray): Result<ResourceContent, ResultCode> =
    unpack(WholePayload.serializer(), bytes).flatMap { payload ->
        val content = ResourceContent.of(payload.kind, payload.version.number, payload.entries)
        if (content.version == payload.version) Ok(content) else Err(ResultCode.PEER_FRAME_MALFORMED)
    }

/** Decodes the result of [packDelta]. [apply] checks its digests. */
internal fun unpackDelta(
    bytes: ByteArray,
): Result<ResourceDelta, ResultCode> = unpack(ResourceDelta.serializer(), bytes)

@Serializable
private class WholePayload(
    val kind: ResourceKind,
    val version: ResourceVersion,
    val entries: Map<String, String>,
)

private fun <T> pack(serializer: KSerializer<T>, value: T): ByteArray =
    deflate(PAYLOAD_CBOR.encodeToByteArray(serializer, value))

private fun <T> unpack(serializer: KSerializer<T>, bytes: ByteArray): Result<T, ResultCode> =
    inflate(bytes, MAX_INFLATED_BYTES).flatMap { inflated ->
        try {
            Ok(PAYLOAD_CBOR.decodeFromByteArray(serializer, inflated))
        } catch (_: IllegalArgumentException) {
            Err(ResultCode.PEER_FRAME_MALFORMED)
        }
    }

private val PAYLOAD_CBOR = Cbor { useDefiniteLengthEncoding = true }
