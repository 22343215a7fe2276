package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.ByteToMessageCodec
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.util.zip.Deflater
import java.util.zip.Inflater

/**
 * Encodes frames of [PeerMessage]s: length, kind, head length, CBOR head, raw body. Large heads are deflated. Frames of kinds
 * that a later build may send are skipped.
 */
internal class PeerCodec(
    private val heads: EncodedHeads = EncodedHeads(),
    private val onSent: (kind: String, bytes: Int) -> Unit = { _, _ -> },
) : ByteToMessageCodec<PeerFrame>() {
    /** Whether a frame could not be decoded, so that nothing tells where the next one begins. */
    private var isBroken = false

    override fun isSharable(): Boolean = false

    override fun encode(context: ChannelHandlerContext, frame: PeerFrame, out: ByteBuf) {
        val kind = kindOf(frame.message)
        val head = headOf(kind, frame.message)
        out.writeInt(HEADER_BYTES + head.bytes.size + frame.body.size)
        out.writeByte(if (head.isCompressed) kind.ordinal or COMPRESSED_FLAG else kind.ordinal)
        out.writeInt(head.bytes.size)
        out.writeBytes(head.bytes)
        out.writeBytes(frame.body)
        onSent(kind.label, LENGTH_BYTES + HEADER_BYTES + head.bytes.size + frame.body.size)
    }

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        if (isBroken) {
            input.skipBytes(input.readableBytes())
            return
        }
        try {
            decodeFrame(input, out)
        } catch (
            @Suppress("TooGenericExceptionCaught") throwable: Throwable,
        ) {
            isBroken = true
            throw throwable
        }
    }

    private fun decodeFrame(input: ByteBuf, out: MutableList<Any>) {
        if (input.readableBytes() < LENGTH_BYTES) return
        val length = input.getInt(input.readerIndex())
        if (length !in HEADER_BYTES..MAX_FRAME_BYTES) {
            throw SerializationException("frame length of $length bytes is out of range")
        }
        if (input.readableBytes() < LENGTH_BYTES + length) return
        input.skipBytes(LENGTH_BYTES)
        val kindByte = input.readUnsignedByte().toInt()
        val headBytes = input.readInt()
        val bodyBytes = length - HEADER_BYTES - headBytes
        if (headBytes < 0 || bodyBytes < 0) {
            throw SerializationException("head length of $headBytes bytes is out of range")
        }
        val kind = Kind.entries.getOrNull(kindByte and COMPRESSED_FLAG.inv())
        if (kind == null) {
            input.skipBytes(headBytes + bodyBytes)
            return
        }
        val raw = ByteArray(headBytes).also { input.readBytes(it) }
        val head = if (kindByte and COMPRESSED_FLAG != 0) inflate(raw) else raw
        val body = if (bodyBytes == 0) NO_BYTES else ByteArray(bodyBytes).also { input.readBytes(it) }
        out += PeerFrame(cbor.decodeFromByteArray(kind.serializer, head), body)
    }

    private fun headOf(kind: Kind, message: PeerMessage): EncodedHeads.Head {
        if (!kind.isSentToMany) return encodeHead(kind, message)
        return heads.find(message) ?: encodeHead(kind, message).also { heads.keep(message, it) }
    }

    private fun encodeHead(kind: Kind, message: PeerMessage): EncodedHeads.Head {
        @Suppress("UNCHECKED_CAST")
        val uncompressed = cbor.encodeToByteArray(kind.serializer as KSerializer<PeerMessage>, message)
        val compressed = if (uncompressed.size >= MIN_COMPRESSED_HEAD_BYTES) deflate(uncompressed) else uncompressed
        val isSmaller = compressed.size < uncompressed.size
        return EncodedHeads.Head(if (isSmaller) compressed else uncompressed, isSmaller)
    }

    private enum class Kind(
        val serializer: KSerializer<out PeerMessage>,
        val isSentToMany: Boolean = false,
    ) {
        HELLO(PeerMessage.Hello.serializer(), isSentToMany = true),
        FORWARD(PeerMessage.Forward.serializer()),
        CANCEL(PeerMessage.Cancel.serializer()),
        ANSWER(PeerMessage.Response.serializer()),
        REFUSAL(PeerMessage.Refusal.serializer()),
        LOSS(PeerMessage.OutcomeUnknown.serializer()),
        PING(PeerMessage.Ping.serializer(), isSentToMany = true),
        WHOLE(PeerMessage.SectionSnapshot.serializer()),
        NEWS(PeerMessage.ItemUpdates.serializer(), isSentToMany = true),
        ASK(PeerMessage.SectionRequest.serializer()),
        SUSPECTS(PeerMessage.Suspects.serializer(), isSentToMany = true),
        QUOTA_ASK(PeerMessage.QuotaAsk.serializer()),
        QUOTA_GRANT(PeerMessage.QuotaGrant.serializer()),
        SILENCE(PeerMessage.TargetSilent.serializer()),
        ;

        val label: String = name.lowercase()
    }

    private fun kindOf(message: PeerMessage): Kind = when (message) {
        is PeerMessage.Hello -> Kind.HELLO
        is PeerMessage.Forward -> Kind.FORWARD
        is PeerMessage.Cancel -> Kind.CANCEL
        is PeerMessage.Response -> Kind.ANSWER
        is PeerMessage.Refusal -> Kind.REFUSAL
        is PeerMessage.OutcomeUnknown -> Kind.LOSS
        is PeerMessage.Ping -> Kind.PING
        is PeerMessage.SectionSnapshot -> Kind.WHOLE
        is PeerMessage.ItemUpdates -> Kind.NEWS
        is PeerMessage.SectionRequest -> Kind.ASK
        is PeerMessage.Suspects -> Kind.SUSPECTS
        is PeerMessage.QuotaAsk -> Kind.QUOTA_ASK
        is PeerMessage.QuotaGrant -> Kind.QUOTA_GRANT
        is PeerMessage.TargetSilent -> Kind.SILENCE
    }

    private fun deflate(uncompressed: ByteArray): ByteArray {
        val deflater = Deflater(Deflater.BEST_SPEED, true)
        try {
            deflater.setInput(uncompressed)
            deflater.finish()
            val compressed = ByteArray(uncompressed.size)
            val size = deflater.deflate(compressed)
            return if (deflater.finished()) compressed.copyOf(size) else uncompressed
        } finally {
            deflater.end()
        }
    }

    private fun inflate(compressed: ByteArray): ByteArray {
        val inflater = Inflater(true)
        try {
            inflater.setInput(compressed)
            val out = java.io.ByteArrayOutputStream(compressed.size * 4)
            val buffer = ByteArray(INFLATE_BUFFER_BYTES)
            while (!inflater.finished()) {
                val size = inflater.inflate(buffer)
                if (size == 0) throw SerializationException("compressed head is truncated")
                if (out.size() + size > MAX_FRAME_BYTES) throw SerializationException("decompressed head is too large")
                out.write(buffer, 0, size)
            }
            return out.toByteArray()
        } finally {
            inflater.end()
        }
    }

    companion object {
        /** Version of these messages; a peer with another version is disconnected. */
        const val PROTOCOL_VERSION = 3

        private const val LENGTH_BYTES = 4
        private const val HEADER_BYTES = 5
        private const val COMPRESSED_FLAG = 0x80

        /** Smallest head that is worth deflating. */
        private const val MIN_COMPRESSED_HEAD_BYTES = 512
        private const val INFLATE_BUFFER_BYTES = 8_192

        /** The largest body that callers may send plus room for its head. */
        private const val MAX_FRAME_BYTES = 96 * 1024 * 1024

        private val cbor =
            Cbor {
                preferCborLabelsOverNames = true
                useDefiniteLengthEncoding = true
                ignoreUnknownKeys = true
            }
    }
}
