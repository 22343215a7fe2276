package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.ByteToMessageCodec
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.util.zip.Deflater
import java.util.zip.Inflater

/** Frames of [PeerMessage]s: length, kind, length of the head, CBOR head, raw body; large heads are deflated. */
internal class PeerCodec(
    private val onSent: (kind: String, bytes: Int) -> Unit = { _, _ -> },
) : ByteToMessageCodec<PeerFrame>() {
    override fun encode(context: ChannelHandlerContext, frame: PeerFrame, out: ByteBuf) {
        val kind = kindOf(frame.message)
        val plain = encodeHead(kind, frame.message)
        val packed = if (plain.size >= MIN_PACKED_BYTES) deflate(plain) else plain
        val head = if (packed.size < plain.size) packed else plain
        out.writeInt(HEADER_BYTES + head.size + frame.body.size)
        out.writeByte(if (head === plain) kind.ordinal else kind.ordinal or PACKED)
        out.writeInt(head.size)
        out.writeBytes(head)
        out.writeBytes(frame.body)
        onSent(kind.label, LENGTH_BYTES + HEADER_BYTES + head.size + frame.body.size)
    }

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        if (input.readableBytes() < LENGTH_BYTES) return
        val length = input.getInt(input.readerIndex())
        if (length !in HEADER_BYTES..MAX_FRAME_BYTES) throw SerializationException("frame of $length bytes")
        if (input.readableBytes() < LENGTH_BYTES + length) return
        input.skipBytes(LENGTH_BYTES)
        val kindByte = input.readUnsignedByte().toInt()
        val headBytes = input.readInt()
        val bodyBytes = length - HEADER_BYTES - headBytes
        if (headBytes < 0 || bodyBytes < 0) throw SerializationException("head of $headBytes bytes")
        val kind = Kind.entries.getOrNull(kindByte and PACKED.inv()) ?: throw SerializationException("kind $kindByte")
        val raw = ByteArray(headBytes).also { input.readBytes(it) }
        val head = if (kindByte and PACKED != 0) inflate(raw) else raw
        val body = if (bodyBytes == 0) NO_BYTES else ByteArray(bodyBytes).also { input.readBytes(it) }
        out += PeerFrame(cbor.decodeFromByteArray(kind.serializer, head), body)
    }

    private fun encodeHead(kind: Kind, message: PeerMessage): ByteArray {
        @Suppress("UNCHECKED_CAST")
        return cbor.encodeToByteArray(kind.serializer as KSerializer<PeerMessage>, message)
    }

    private enum class Kind(val serializer: KSerializer<out PeerMessage>) {
        HELLO(PeerMessage.Hello.serializer()),
        FORWARD(PeerMessage.Forward.serializer()),
        CANCEL(PeerMessage.Cancel.serializer()),
        ANSWER(PeerMessage.Answer.serializer()),
        REFUSAL(PeerMessage.Refusal.serializer()),
        LOSS(PeerMessage.Loss.serializer()),
        PING(PeerMessage.Ping.serializer()),
        WHOLE(PeerMessage.Whole.serializer()),
        NEWS(PeerMessage.ItemUpdates.serializer()),
        ASK(PeerMessage.Ask.serializer()),
        SUSPECTS(PeerMessage.Suspects.serializer()),
        ;

        val label: String = name.lowercase()
    }

    private fun kindOf(message: PeerMessage): Kind = when (message) {
        is PeerMessage.Hello -> Kind.HELLO
        is PeerMessage.Forward -> Kind.FORWARD
        is PeerMessage.Cancel -> Kind.CANCEL
        is PeerMessage.Answer -> Kind.ANSWER
        is PeerMessage.Refusal -> Kind.REFUSAL
        is PeerMessage.Loss -> Kind.LOSS
        is PeerMessage.Ping -> Kind.PING
        is PeerMessage.Whole -> Kind.WHOLE
        is PeerMessage.ItemUpdates -> Kind.NEWS
        is PeerMessage.Ask -> Kind.ASK
        is PeerMessage.Suspects -> Kind.SUSPECTS
    }

    private fun deflate(plain: ByteArray): ByteArray {
        val deflater = Deflater(Deflater.BEST_SPEED, true)
        try {
            deflater.setInput(plain)
            deflater.finish()
            val packed = ByteArray(plain.size)
            val size = deflater.deflate(packed)
            return if (deflater.finished()) packed.copyOf(size) else plain
        } finally {
            deflater.end()
        }
    }

    private fun inflate(packed: ByteArray): ByteArray {
        val inflater = Inflater(true)
        try {
            inflater.setInput(packed)
            val out = java.io.ByteArrayOutputStream(packed.size * 4)
            val buffer = ByteArray(INFLATE_BUFFER_BYTES)
            while (!inflater.finished()) {
                val size = inflater.inflate(buffer)
                if (size == 0) throw SerializationException("packed head ends early")
                if (out.size() + size > MAX_FRAME_BYTES) throw SerializationException("packed head too large")
                out.write(buffer, 0, size)
            }
            return out.toByteArray()
        } finally {
            inflater.end()
        }
    }

    companion object {
        /** Version of these messages; daemons of other versions close the connection. */
        const val PROTOCOL = 2

        private const val LENGTH_BYTES = 4
        private const val HEADER_BYTES = 5
        private const val PACKED = 0x80

        /** Head size from which deflating pays. */
        private const val MIN_PACKED_BYTES = 512
        private const val INFLATE_BUFFER_BYTES = 8_192

        /** Largest body that callers may send, and room for its head. */
        private const val MAX_FRAME_BYTES = 96 * 1024 * 1024

        private val cbor =
            Cbor {
                preferCborLabelsOverNames = true
                useDefiniteLengthEncoding = true
                ignoreUnknownKeys = true
            }
    }
}
