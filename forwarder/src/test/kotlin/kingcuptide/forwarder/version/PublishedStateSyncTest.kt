package kingcuptide.forwarder.version

import io.netty.channel.embedded.EmbeddedChannel
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.version.PublishedItem
import kingcuptide.coordination.version.PublishedItemDecoder
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.SourceItem
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.connection.PeerFrame
import kingcuptide.forwarder.connection.PeerListener
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

internal class PublishedStateSyncTest {
    private val clock = ManualClock()
    private val regions = HashMap<PeerSession, RegionId>()
    private val picture = PublishedState(clock, Nothing)
    private val state = PublishedStateSync(clock, listOf("a/", "b/"), picture, Peers()) {}
    private val near = peerIn("north")
    private val far = peerIn("south")

    private class Peer(val session: PeerSession, private val channel: EmbeddedChannel) {
        fun asked(): List<List<Long>> = generateSequence { channel.readOutbound<Any>() }
            .mapNotNull { ((it as? PeerFrame)?.message as? PeerMessage.Ask)?.asOf }
            .toList()
    }

    private fun peerIn(region: String): Peer {
        val session = PeerSession(clock, Deaf, PeerMessage.Hello(1, region, region, 1), isOwn = true)
        regions[session] = RegionId(region)
        return Peer(session, EmbeddedChannel(session))
    }

    private fun ping(peer: Peer, digest: Long, asOf: List<Long> = listOf(7, 7)) = state.pinged(
        peer.session,
        PeerMessage.Ping(asOf, 100, 0, false, PeerMessage.LoadReport(0, 0, 1, 0, false), digest, 0),
    )

    init {
        state.readAll("a/", emptyList(), 7)
        state.readAll("b/", emptyList(), 7)
    }

    @Test
    fun `Given news that were lost, when a near peer still differs, then all is asked for though none is behind`() {
        ping(near, digest = picture.digest() + 1)
        expectThat(near.asked()).isEmpty()
        clock.advance(500.milliseconds)
        ping(near, digest = picture.digest() + 1)
        expectThat(near.asked()).isEqualTo(listOf(listOf(0L, 0L)))
    }

    @Test
    fun `Given news on their way, when a peer agrees again in time, then nothing is asked`() {
        ping(near, digest = picture.digest() + 1)
        clock.advance(400.milliseconds)
        ping(near, digest = picture.digest())
        clock.advance(400.milliseconds)
        ping(near, digest = picture.digest() + 1)
        expectThat(near.asked()).isEmpty()
    }

    @Test
    fun `Given a peer that has read further, when it differs, then what came since is asked for at once`() {
        ping(near, digest = picture.digest() + 1, asOf = listOf(7, 9))
        expectThat(near.asked()).isEqualTo(listOf(listOf(7L, 7L)))
    }

    @Test
    fun `Given a peer of another region, when it differs for long, then near ones are left to tell`() {
        ping(far, digest = picture.digest() + 1)
        clock.advance(500.milliseconds)
        ping(far, digest = picture.digest() + 1)
        expectThat(far.asked()).isEmpty()
    }

    private inner class Peers : PeerGroup {
        override fun sessions(): Collection<PeerSession> = regions.keys

        override fun regionOf(session: PeerSession): RegionId? = regions[session]

        override val ownRegion = RegionId("north")
    }

    private object Nothing : PublishedItemDecoder {
        override fun decode(item: SourceItem): PublishedItem = PublishedItem.Unusable("none is used here")
    }

    private object Deaf : PeerListener {
        override fun opened(session: PeerSession) = Unit

        override fun received(session: PeerSession, frame: PeerFrame) = Unit

        override fun closed(session: PeerSession, reason: String) = Unit

        override fun failed(session: PeerSession, cause: Throwable) = Unit
    }
}
