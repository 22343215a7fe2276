package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.DecoderException
import kingcuptide.coordination.request.quota.QuotaMessage
import kingcuptide.forwarder.request.toPeerMessage
import kingcuptide.forwarder.request.toQuotaMessage
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull

internal class PeerCodecTest {
    private val forward =
        PeerMessage.Forward(7, "id", "POST", "/a", listOf("Host", "h"), 1_000, 500, 600, "r", 1, false, "t", null, 0.7)

    private fun encoded(message: PeerMessage, body: ByteArray = NO_BYTES): ByteBuf {
        val channel = EmbeddedChannel(PeerCodec())
        channel.writeOutbound(PeerFrame(message, body))
        return channel.readOutbound()
    }

    @Test
    fun `Given a request with a body, when it arrives byte by byte, then it is decoded completely`() {
        val bytes = encoded(forward, "body".encodeToByteArray())
        val channel = EmbeddedChannel(PeerCodec())
        while (bytes.readableBytes() > 1) channel.writeInbound(bytes.readRetainedSlice(1))
        expectThat(channel.readInbound<PeerFrame>()).isNull()
        channel.writeInbound(bytes)
        val frame = channel.readInbound<PeerFrame>()
        expectThat(frame.message).isEqualTo(forward)
        expectThat(frame.body.decodeToString()).isEqualTo("body")
    }

    @Test
    fun `Given a large section, when it is sent, then it is compressed and decoded again`() {
        val value = "route ".repeat(5_000).encodeToByteArray()
        val bytes = encoded(PeerMessage.SectionSnapshot(0, 9, listOf(PeerMessage.Item("k", 3, value))))
        expectThat(bytes.readableBytes()).isLessThan(value.size / 10)
        val channel = EmbeddedChannel(PeerCodec())
        channel.writeInbound(bytes)
        val snapshot = channel.readInbound<PeerFrame>().message as PeerMessage.SectionSnapshot
        expectThat(snapshot.items.single().value?.decodeToString()).isEqualTo(value.decodeToString())
    }

    /** Guards against a kept head that is sent for a later message, or that changes what a peer receives. */
    @Test
    fun `Given codecs that share encoded heads, when messages alternate, then each peer gets those that were sent`() {
        val heads = EncodedHeads()
        val channels = List(2) { EmbeddedChannel(PeerCodec(heads)) }
        val items = listOf(PeerMessage.Item("k", 3, "route ".repeat(500).encodeToByteArray()))
        val updates = PeerMessage.ItemUpdates(0, false, items, 1, 3, 0)
        val load = PeerMessage.LoadReport(0, 0, 4, 0, false)
        val pings = List(2) { PeerMessage.Ping(listOf(5, 5), it.toLong(), 1, false, load, 9, 0) }
        for (message in listOf(pings[0], forward, updates, pings[0], pings[1], updates.copy(relayInRegion = true))) {
            for (channel in channels) {
                channel.writeOutbound(PeerFrame(message))
                expectThat(bytesOf(channel.readOutbound())).isEqualTo(bytesOf(encoded(message)))
            }
        }
    }

    private fun bytesOf(buffer: ByteBuf): List<Byte> = ByteArray(
        buffer.readableBytes(),
    ).also(buffer::readBytes).toList()

    /** Guards against quota messages that are larger on the wire than the simulation of their traffic assumes. */
    @Test
    fun `Given a quota message, when it is sent, then it has few bytes and is decoded again`() {
        val ask = QuotaMessage.Ask(
            7,
            0,
            0,
            isDomainLender = false,
            isUrgent = true,
            listOf(-77_000_000),
            listOf(1),
            emptyList(),
        )
        val grant = QuotaMessage.Grant(7, 70_000, listOf(1), emptyList())
        expectThat(encoded(ask.toPeerMessage()).readableBytes()).isEqualTo(24)
        expectThat(encoded(grant.toPeerMessage()).readableBytes()).isEqualTo(21)
        for (message in listOf(ask, grant)) {
            val channel = EmbeddedChannel(PeerCodec())
            channel.writeInbound(encoded(message.toPeerMessage()))
            expectThat(channel.readInbound<PeerFrame>().message.toQuotaMessage()).isEqualTo(message)
        }
    }

    /** Guards against a hello that a daemon of an earlier version can't read, or whose sender counts as slow. */
    @Test
    fun `Given hellos with and without a processor share, when they are sent, then a whole core is left out`() {
        val withShare = PeerMessage.Hello(PeerCodec.PROTOCOL_VERSION, "h", "a", 1, 300)
        val without = PeerMessage.Hello(PeerCodec.PROTOCOL_VERSION, "h", "a", 1)
        expectThat(encoded(without).readableBytes()).isEqualTo(encoded(withShare).readableBytes() - 4)
        for (hello in listOf(withShare, without)) {
            val channel = EmbeddedChannel(PeerCodec())
            channel.writeInbound(encoded(hello))
            expectThat(channel.readInbound<PeerFrame>().message).isEqualTo(hello)
        }
    }

    @Test
    fun `Given a frame length out of range, when it arrives, then decoding fails`() {
        val channel = EmbeddedChannel(PeerCodec())
        val bytes = io.netty.buffer.Unpooled.buffer().writeInt(Int.MAX_VALUE)
        assertThrows<DecoderException> { channel.writeInbound(bytes) }
    }
}
