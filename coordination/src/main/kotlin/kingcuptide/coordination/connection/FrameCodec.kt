package kingcuptide.coordination.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kingcuptide.coordination.process.ResultCode
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** Version of the protocol between daemons; the first byte of every frame. */
public const val PROTOCOL_VERSION: Int = 1

/** Maximum size of one frame, without its length prefix. */
public const val MAX_FRAME_BYTES: Int = 256 * 1024

/** Maximum number of body bytes in one [BodyChunk]. */
public const val MAX_CHUNK_BYTES: Int = 32 * 1024

/** Size of the big-endian length prefix of each frame on a connection. */
public const val LENGTH_PREFIX_BYTES: Int = Int.SIZE_BYTES

/**
 * Encodes and decodes request frames and control messages. Thread-safe.
 *
 * A request frame consists of the protocol version (one byte), the frame kind (one byte) and a CBOR item; a control
 * message of the protocol version and a CBOR item that names its own kind. Input from a peer is untrusted: for any
 * bytes, decoding returns a frame or a result code. Bytes after the item are ignored.
 */
public class FrameCodec internal constructor() {
    /** Encodes [frame] with its length prefix, or returns [ResultCode.PEER_FRAME_TOO_LARGE]. */
    public fun encode(frame: RequestFrame): Result<ByteArray, ResultCode> {
        if (frame is BodyChunk && frame.bytes.size > MAX_CHUNK_BYTES) {
            return Err(ResultCode.PEER_FRAME_TOO_LARGE)
        }
        val kind = kindOf(frame)
        val header = byteArrayOf(PROTOCOL_VERSION.toByte(), kind.ordinal.toByte())

        @Suppress("UNCHECKED_CAST")
        val item = cbor.encodeToByteArray(kind.serializer as KSerializer<RequestFrame>, frame)
        return joined(LENGTH_PREFIX_BYTES, header, item)
    }

    /** Encodes [envelope] for a datagram, without a length prefix, or returns [ResultCode.PEER_FRAME_TOO_LARGE]. */
    public fun encode(
        envelope: ControlEnvelope,
    ): Result<ByteArray, ResultCode> = encodeControl(envelope, prefixBytes = 0)

    /** Encodes [envelope] for a connection, with its length prefix, or returns [ResultCode.PEER_FRAME_TOO_LARGE]. */
    public fun encodePrefixed(envelope: ControlEnvelope): Result<ByteArray, ResultCode> =
        encodeControl(envelope, LENGTH_PREFIX_BYTES)

    /** Returns [prefix] if it is a valid frame length. Call it before allocating a buffer. */
    public fun checkLength(prefix: Int): Result<Int, ResultCode> = when {
        prefix < MIN_FRAME_BYTES -> Err(ResultCode.PEER_FRAME_MALFORMED)
        prefix > MAX_FRAME_BYTES -> Err(ResultCode.PEER_FRAME_TOO_LARGE)
        else -> Ok(prefix)
    }

    /** Decodes one request frame from [payload], which has no length prefix. */
    public fun decodeRequestFrame(payload: ByteArray): Result<RequestFrame, ResultCode> =
        checkHeader(payload).andThen {
            val kind = FrameKind.entries.getOrNull(payload[VERSION_BYTES].toInt())
                ?: return Err(ResultCode.PEER_FRAME_MALFORMED)
            decodeItem(kind.serializer, payload, headerBytes = VERSION_BYTES + KIND_BYTES).andThen(::checkFrame)
        }

    /** Decodes one control message from [payload], which has no length prefix. */
    public fun decodeControl(payload: ByteArray): Result<ControlEnvelope, ResultCode> =
        checkHeader(payload).andThen { decodeItem(ControlEnvelope.serializer(), payload, headerBytes = VERSION_BYTES) }

    private fun encodeControl(
        envelope: ControlEnvelope,
        prefixBytes: Int,
    ): Result<ByteArray, ResultCode> {
        val item = cbor.encodeToByteArray(ControlEnvelope.serializer(), envelope)
        return joined(prefixBytes, byteArrayOf(PROTOCOL_VERSION.toByte()), item)
    }

    private fun joined(
        prefixBytes: Int,
        header: ByteArray,
        item: ByteArray,
    ): Result<ByteArray, ResultCode> {
        val length = header.size + item.size
        if (length > MAX_FRAME_BYTES) {
            return Err(ResultCode.PEER_FRAME_TOO_LARGE)
        }
        val bytes = ByteArray(prefixBytes + length)
        for (index in 0 until prefixBytes) {
            bytes[index] = (length ushr (Byte.SIZE_BITS * (prefixBytes - 1 - index))).toByte()
        }
        header.copyInto(bytes, prefixBytes)
        item.copyInto(bytes, prefixBytes + header.size)
        return Ok(bytes)
    }

    private fun checkHeader(payload: ByteArray): Result<Int, ResultCode> = checkLength(payload.size).andThen { length ->
        if (payload[0] == PROTOCOL_VERSION.toByte()) Ok(length) else Err(ResultCode.PEER_PROTOCOL_VERSION)
    }

    // The CBOR library throws several unrelated exception types for malformed input.
    private fun <T> decodeItem(
        serializer: DeserializationStrategy<T>,
        payload: ByteArray,
        headerBytes: Int,
    ): Result<T, ResultCode> = try {
        Ok(cbor.decodeFromByteArray(serializer, payload.copyOfRange(headerBytes, payload.size)))
    } catch (_: RuntimeException) {
        Err(ResultCode.PEER_FRAME_MALFORMED)
    }

    private fun checkFrame(frame: RequestFrame): Result<RequestFrame, ResultCode> = when {
        frame is Hello && frame.protocolVersion != PROTOCOL_VERSION -> Err(ResultCode.PEER_PROTOCOL_VERSION)
        frame is BodyChunk && frame.bytes.size > MAX_CHUNK_BYTES -> Err(ResultCode.PEER_FRAME_TOO_LARGE)
        else -> Ok(frame)
    }

    private companion object {
        const val VERSION_BYTES = 1
        const val KIND_BYTES = 1
        const val MIN_FRAME_BYTES = 2

        val cbor = Cbor {
            ignoreUnknownKeys = true
            useDefiniteLengthEncoding = true
        }
    }
}

/** Creates a codec; one instance can serve the whole process. */
public fun frameCodec(): FrameCodec = FrameCodec()
