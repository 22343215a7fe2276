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
    private val published = PublishedState(clock, NoItems)
    private val state = PublishedStateSync(clock, listOf("a/", "b/"), published, TestPeers()) {}
    private val sameRegion = peerIn("north")
    private val otherRegion = peerIn("south")

    private class Peer(val session: PeerSession, private val channel: EmbeddedChannel) {
        fun sectionRequests(): List<List<Long>> = generateSequence { channel.readOutbound<Any>() }
            .mapNotNull { ((it as? PeerFrame)?.message as? PeerMessage.SectionRequest)?.asOf }
            .toList()
    }

    private fun peerIn(region: String): Peer {
        val session = PeerSession(clock, NoListener, PeerMessage.Hello(1, region, region, 1), isOutbound = true)
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
    fun `Given a lost update, when a peer of the own region still differs, then all sections are requested`() {
        ping(sameRegion, digest = published.digest() + 1)
        expectThat(sameRegion.sectionRequests()).isEmpty()
        clock.advance(500.milliseconds)
        ping(sameRegion, digest = published.digest() + 1)
        expectThat(sameRegion.sectionRequests()).isEqualTo(listOf(listOf(0L, 0L)))
    }

    @Test
    fun `Given an update in transit, when a peer agrees again in time, then nothing is requested`() {
        ping(sameRegion, digest = published.digest() + 1)
        clock.advance(400.milliseconds)
        ping(sameRegion, digest = published.digest())
        clock.advance(400.milliseconds)
        ping(sameRegion, digest = published.digest() + 1)
        expectThat(sameRegion.sectionRequests()).isEmpty()
    }

    @Test
    fun `Given a peer with a later revision, when it differs, then newer sections are requested at once`() {
        ping(sameRegion, digest = published.digest() + 1, asOf = listOf(7, 9))
        expectThat(sameRegion.sectionRequests()).isEqualTo(listOf(listOf(7L, 7L)))
    }

    @Test
    fun `Given a peer of another region, when it differs for long, then it gets no request for all sections`() {
        ping(otherRegion, digest = published.digest() + 1)
        clock.advance(500.milliseconds)
        ping(otherRegion, digest = published.digest() + 1)
        expectThat(otherRegion.sectionRequests()).isEmpty()
    }

    private inner class TestPeers : PeerGroup {
        override fun sessions(): Collection<PeerSession> = regions.keys

        override fun regionOf(session: PeerSession): RegionId? = regions[session]

        override val ownRegion = RegionId("north")
    }

    private object NoItems : PublishedItemDecoder {
        override fun decode(item: SourceItem): PublishedItem = PublishedItem.Unusable("none is used here")
    }

    private object NoListener : PeerListener {
        override fun opened(session: PeerSession) = Unit

        override fun received(session: PeerSession, frame: PeerFrame) = Unit

        override fun closed(session: PeerSession, reason: String) = Unit

        override fun failed(session: PeerSession, cause: Throwable) = Unit
    }
}
