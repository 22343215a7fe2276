package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/**
 * Guards against a build whose messages an earlier build can't read, or the other way round: daemons of both run side by
 * side while hosts are upgraded. The frames were recorded with the build of commit 3853466; be9f34b sends the same bytes.
 */
internal class RecordedFramesTest {
    private val recorded: Map<String, ByteArray> =
        checkNotNull(javaClass.getResource("/recorded-frames/3853466.txt")).readText().trim().lines()
            .associate { line -> line.substringBefore(' ') to ByteBufUtil.decodeHexDump(line.substringAfter(' ')) }

    @Test
    fun `Given frames of an earlier build, when they arrive, then each is read as it was sent`() {
        expectThat(recorded.keys).isEqualTo(SampleMessages.all.keys)
        for ((name, message) in SampleMessages.all) {
            val frame = decode(recorded.getValue(name)).readInbound<PeerFrame>()
            expectThat(frame.message).isEqualTo(message)
            expectThat(frame.body.decodeToString()).isEqualTo(BODY)
        }
    }

    @Test
    fun `Given a message without new fields, when it is sent, then it has the bytes of the earlier build`() {
        for ((name, message) in SampleMessages.all) {
            val channel = EmbeddedChannel(PeerCodec())
            channel.writeOutbound(PeerFrame(message, BODY.encodeToByteArray()))
            val sent = ByteBufUtil.hexDump(channel.readOutbound<ByteBuf>())
            expectThat(sent).describedAs(name).isEqualTo(ByteBufUtil.hexDump(recorded.getValue(name)))
        }
    }

    @Test
    fun `Given kinds of messages of a later build, when they arrive, then they are skipped and the next one is read`() {
        val unknown = Unpooled.buffer().writeInt(11).writeByte(UNKNOWN_KIND).writeInt(2).writeBytes(ByteArray(6))
        val compressed = Unpooled.buffer().writeInt(7).writeByte(UNKNOWN_KIND or 0x80).writeInt(2).writeShort(-1)
        val channel = decode(
            ByteBufUtil.getBytes(unknown) + ByteBufUtil.getBytes(compressed) + recorded.getValue("cancel"),
        )
        expectThat(channel.readInbound<PeerFrame>().message).isEqualTo(PeerMessage.Cancel(7))
        expectThat(channel.readInbound<PeerFrame>()).isNull()
    }

    private fun decode(bytes: ByteArray) =
        EmbeddedChannel(PeerCodec()).apply { writeInbound(Unpooled.wrappedBuffer(bytes)) }

    private companion object {
        const val BODY = "body"
        const val UNKNOWN_KIND = 100
    }
}
