package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.DecoderException
import kingcuptide.forwarder.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

/** Guards against a malformed frame, or an error in its handling, that ends more than the connection that it came on. */
internal class FaultyFrameTest {
    private val failures = ArrayList<Throwable>()
    private var error: Throwable? = null
    private val listener = object : PeerListener {
        override fun opened(session: PeerSession) = Unit

        override fun received(session: PeerSession, frame: PeerFrame) {
            error?.let { throw it }
        }

        override fun closed(session: PeerSession, reason: String) = Unit

        override fun failed(session: PeerSession, cause: Throwable) {
            failures += cause
        }
    }

    private fun channel(): EmbeddedChannel {
        val hello = PeerMessage.Hello(PeerCodec.PROTOCOL_VERSION, "own", "a", 1)
        return EmbeddedChannel(PeerCodec(), PeerSession(ManualClock(), listener, hello, isOutbound = false))
    }

    private fun receive(bytes: ByteBuf) {
        channel().apply { writeInbound(bytes) }.finishAndReleaseAll()
    }

    private fun encoded(message: PeerMessage): ByteArray {
        val channel = EmbeddedChannel(PeerCodec())
        channel.writeOutbound(PeerFrame(message))
        val buffer = channel.readOutbound<ByteBuf>()
        return ByteArray(buffer.readableBytes()).also { buffer.readBytes(it) }
    }

    private fun frame(kind: Int, head: ByteArray): ByteBuf =
        Unpooled.buffer().writeInt(5 + head.size).writeByte(kind).writeInt(head.size).writeBytes(head)

    /** An embedded channel throws what no handler has caught, so none of these may. */
    @Test
    fun `Given frames with changed bytes, when they arrive, then each is handled or ends its connection`() {
        val report = PeerMessage.LoadReport(0, 0, 1, 0, false, 0.7, "t", 5)
        val messages = listOf(
            PeerMessage.Forward(7, "id", "POST", "/a", listOf("Host", "h"), 1_000, 500, 600, "r", 1, false, "t"),
            PeerMessage.Ping(listOf(1, 2), 0, 0, false, report, 0, 0),
            PeerMessage.SectionSnapshot(0, 9, List(100) { PeerMessage.Item("k$it", 3, ByteArray(9)) }),
        ).map(::encoded)
        val random = Random(SEED)
        repeat(MUTATIONS) { number ->
            val bytes = messages[number % messages.size].copyOf()
            repeat(1 + random.nextInt(3)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            receive(Unpooled.wrappedBuffer(bytes))
        }
    }

    @Test
    fun `Given a deeply nested frame, when it arrives, then it is handled or ends its connection`() {
        for (opening in listOf(0x81, 0x9f, 0xa1, 0xbf, 0xc1)) {
            val head = ByteArray(NESTING) { opening.toByte() }
            (0..10).forEach { kind -> receive(frame(kind, head)) }
        }
    }

    /** Guards against bytes of a body that are read as frames, after the frame that they belong to could not be decoded. */
    @Test
    fun `Given a frame that can't be decoded, when more bytes arrive, then no frame is read from them`() {
        val malformed = frame(kind = 2, head = byteArrayOf(0x1f))
        val channel = EmbeddedChannel(PeerCodec())
        val bytes = Unpooled.wrappedBuffer(malformed, Unpooled.wrappedBuffer(encoded(PeerMessage.Cancel(1))))
        expectThrows<DecoderException> { channel.writeInbound(bytes) }
        channel.finish()
        expectThat(channel.readInbound<PeerFrame>()).isNull()
    }

    @Test
    fun `Given an error while a message is handled, when it is thrown, then only its connection ends`() {
        for (thrown in listOf(NoSuchElementException("test"), StackOverflowError(), OutOfMemoryError("test"))) {
            error = thrown
            failures.clear()
            val failing = channel()
            val other = channel()
            failing.writeInbound(Unpooled.wrappedBuffer(encoded(PeerMessage.Cancel(1))))
            expectThat(failing.isOpen).isFalse()
            expectThat(other.isOpen).isTrue()
            expectThat(failures.single()).isEqualTo(thrown)
        }
    }

    @Test
    fun `Given a head that inflates beyond the limit, when it arrives, then its connection ends`() {
        val deflater = java.util.zip.Deflater(java.util.zip.Deflater.BEST_COMPRESSION, true)
        deflater.setInput(ByteArray(200 * 1024 * 1024))
        deflater.finish()
        val compressed = ByteArray(1024 * 1024)
        val size = deflater.deflate(compressed)
        deflater.end()
        val failing = channel()
        failing.writeInbound(frame(0x80, compressed.copyOf(size)))
        expectThat(failing.isOpen).isFalse()
        expectThat(failures.single().cause).isA<kotlinx.serialization.SerializationException>()
    }

    private companion object {
        const val SEED = 1
        const val MUTATIONS = 20_000
        const val NESTING = 200_000
    }
}
