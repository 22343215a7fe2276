package kingcuptide.coordination.version

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kingcuptide.coordination.process.ResultCode

/** Encodes contents and deltas as compressed bytes for peers, and decodes them. */
public interface PayloadCodec {
    /** Encodes the whole [content], for a receiver that has no base. */
    public fun encodeWhole(content: ResourceContent): ByteArray

    /** Encodes [delta], for a receiver that has its base. */
    public fun encodeDelta(delta: ResourceDelta): ByteArray

    /** Decodes the result of [encodeWhole]. The digest is recomputed from the entries. */
    public fun decodeWhole(bytes: ByteArray): Result<ResourceContent, ResultCode>

    /** Decodes the result of [encodeDelta] and applies it to a copy of [base]. */
    public fun decodeDelta(base: ResourceContent, bytes: ByteArray): Result<ResourceContent, ResultCode>
}

/** Returns the codec that daemons use: CBOR, compressed with deflate. Thread-safe. */
public fun deflatePayloadCodec(): PayloadCodec = DeflatePayloadCodec

private object DeflatePayloadCodec : PayloadCodec {
    override fun encodeWhole(content: ResourceContent): ByteArray = packWhole(content)

    override fun encodeDelta(delta: ResourceDelta): ByteArray = packDelta(delta)

    override fun decodeWhole(bytes: ByteArray): Result<ResourceContent, ResultCode> = unpackWhole(bytes)

    override fun decodeDelta(base: ResourceContent, bytes: ByteArray): Result<ResourceContent, ResultCode> =
        unpackDelta(bytes).flatMap { base.apply(it) }
}
