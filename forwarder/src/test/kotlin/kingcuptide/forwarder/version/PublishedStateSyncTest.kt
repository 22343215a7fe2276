package kingcuptide.forwarder.version

import io.netty.channel.embedded.EmbeddedChannel
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.version.PublishedItem
import kingcuptide.coordination.version.PublishedItemDecoder
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.SourceItem
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.connection.PeerCodec
import kingcuptide.forwarder.connection.PeerFrame
import kingcuptide.forwarder.connection.PeerListener
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import kingcuptide.forwarder.connection.StatePeer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds

internal class PublishedStateSyncTest {
    private val clock = ManualClock()
    private val regions = HashMap<StatePeer, RegionId>()
    private val published = PublishedState(clock, TakenOutItems)
    private val state = PublishedStateSync(clock, listOf("a/", "b/"), published, TestPeers()) {}
    private val unlisted = HashSet<StatePeer>()
    private val sameRegion = peerIn("north")
    private val otherRegion = peerIn("south")

    private class Peer(val session: PeerSession, private val channel: EmbeddedChannel) {
        /** Returns and removes all that was sent but the hello. */
        fun messages(): List<PeerMessage> = generateSequence { channel.readOutbound<Any>() }
            .mapNotNull { (it as? PeerFrame)?.message }
            .filterNot { it is PeerMessage.Hello }
            .toList()

        fun sectionRequests(): List<List<Long>> =
            messages().filterIsInstance<PeerMessage.SectionRequest>().map { it.asOf }
    }

    private fun peerIn(region: String): Peer {
        val hello = PeerMessage.Hello(PeerCodec.PROTOCOL_VERSION, region, region, 1)
        val session = PeerSession(clock, NoListener, hello, isOutbound = true)
        regions[session] = RegionId(region)
        return Peer(session, EmbeddedChannel(session).also { it.writeInbound(PeerFrame(hello)) })
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

    private fun update(
        after: Long,
        asOf: Long,
        item: PeerMessage.Item,
        relayInRegion: Boolean = false,
    ) = PeerMessage.ItemUpdates(0, relayInRegion, listOf(item), after, asOf, 0)

    /** Otherwise a daemon that starts on an old read would accept a revoked key. */
    @Test
    fun `Given a first read, when one section is updated, then only a peer that agrees in all confirms the state`() {
        state.received(sameRegion.session, update(after = 7, asOf = 9, PeerMessage.Item("a/x", 9, VALUE)))
        expectThat(published.isConfirmed).isFalse()
        ping(sameRegion, digest = published.digest() + 1, asOf = listOf(9, 7))
        expectThat(published.isConfirmed).isFalse()
        ping(sameRegion, digest = published.digest(), asOf = listOf(9, 7))
        expectThat(published.isConfirmed).isTrue()
    }

    @Test
    fun `Given a missed update, when the next one arrives, then its sender is asked at once for what lies between`() {
        state.received(sameRegion.session, update(after = 9, asOf = 12, PeerMessage.Item("a/x", 12, VALUE)))
        expectThat(sameRegion.sectionRequests()).isEqualTo(listOf(listOf(7L, 7L)))
        expectThat(state.asOf()).isEqualTo(listOf(7L, 7L))
        expectThat(published.takenOut).isEqualTo(setOf(FailureDomainId("a/x")))
    }

    /** Two daemons have two connections; each sends its updates on the one that it opened. */
    @Test
    fun `Given a missed update, when the next comes on the other connection to its sender, then it is asked there`() {
        val accepted = peerIn("north")
        unlisted += accepted.session
        state.received(accepted.session, update(after = 9, asOf = 12, PeerMessage.Item("a/x", 12, VALUE)))
        expectThat(accepted.sectionRequests()).isEqualTo(listOf(listOf(7L, 7L)))
    }

    @Test
    fun `Given a peer that has closed its connection, when it alone was ahead, then nobody is asked`() {
        ping(otherRegion, digest = published.digest() + 1, asOf = listOf(9, 7))
        otherRegion.session.close()
        clock.advance(500.milliseconds)
        state.tick()
        expectThat(otherRegion.sectionRequests()).isEmpty()
    }

    /** Guards against a region that keeps a change which another reader has announced and this one never saw. */
    @Test
    fun `Given an item added and removed between two reads, when they are announced, then peers get its removal`() {
        val added = SourceItem("a/x", 8, VALUE)
        state.readChanges("a/", 7, listOf(added, SourceItem("a/x", 9, null)), 9)
        val items = sameRegion.messages().filterIsInstance<PeerMessage.ItemUpdates>().flatMap { it.items }
        expectThat(items.map { it.key to it.revision }).isEqualTo(listOf("a/x" to 9L))
    }

    @Test
    fun `Given a removed item that a peer has restored, when it is here already, then others still get it from here`() {
        state.received(sameRegion.session, update(after = 7, asOf = 8, PeerMessage.Item("a/x", 8, VALUE)))
        state.received(sameRegion.session, update(after = 8, asOf = 10, PeerMessage.Item("a/x", 10, VALUE)))
        sameRegion.messages()
        state.sectionsRequested(sameRegion.session, PeerMessage.SectionRequest(listOf(9, 7)))
        val snapshot = sameRegion.messages().filterIsInstance<PeerMessage.SectionSnapshot>().single()
        expectThat(snapshot.items.map { it.revision }).isEqualTo(listOf(10L))
    }

    @Test
    fun `Given updates without a gap, when they arrive, then the copy is complete up to the last`() {
        state.received(sameRegion.session, update(after = 5, asOf = 9, PeerMessage.Item("a/x", 9, VALUE)))
        state.received(sameRegion.session, update(after = 9, asOf = 12, PeerMessage.Item("a/x", 12)))
        expectThat(sameRegion.sectionRequests()).isEmpty()
        expectThat(state.asOf()).isEqualTo(listOf(12L, 7L))
        expectThat(published.takenOut).isEmpty()
    }

    @Test
    fun `Given a difference from an item that is not here, when it arrives, then the item is requested`() {
        val delta = PeerMessage.Delta(8, listOf(0, 1), listOf(""))
        state.received(sameRegion.session, update(after = 7, asOf = 12, PeerMessage.Item("a/x", 12, delta = delta)))
        expectThat(state.asOf()).isEqualTo(listOf(7L, 7L))
        expectThat(sameRegion.sectionRequests()).isEqualTo(listOf(listOf(7L, 7L)))
    }

    @Test
    fun `Given a whole region that missed an update, when its daemons agree, then another region is asked still`() {
        ping(otherRegion, digest = published.digest() + 1, asOf = listOf(9, 7))
        clock.advance(200.milliseconds)
        ping(sameRegion, digest = published.digest())
        clock.advance(200.milliseconds)
        state.tick()
        expectThat(otherRegion.sectionRequests()).isEqualTo(listOf(listOf(7L, 7L)))
    }

    @Test
    fun `Given a request without an answer, when time passes, then it is repeated until the copy is complete`() {
        ping(sameRegion, digest = published.digest() + 1, asOf = listOf(7, 9))
        repeat(2) {
            clock.advance(300.milliseconds)
            state.tick()
        }
        expectThat(sameRegion.sectionRequests().size).isEqualTo(3)
        state.received(sameRegion.session, PeerMessage.SectionSnapshot(1, 9, emptyList(), base = 7))
        clock.advance(300.milliseconds)
        state.tick()
        expectThat(sameRegion.sectionRequests()).isEmpty()
    }

    @Test
    fun `Given a snapshot of another region, when it has news, then it is relayed in the own region once`() {
        val snapshot = PeerMessage.SectionSnapshot(0, 9, listOf(PeerMessage.Item("a/x", 9, VALUE)), base = 7)
        repeat(2) { state.received(otherRegion.session, snapshot) }
        expectThat(sameRegion.messages()).isEqualTo(listOf(snapshot))
    }

    @Test
    fun `Given a copy, when a snapshot as of an older revision arrives, then its later items are applied`() {
        val later = PeerMessage.Item("a/x", 10, VALUE)
        state.received(sameRegion.session, PeerMessage.SectionSnapshot(0, 6, listOf(later)))
        expectThat(published.takenOut).isEqualTo(setOf(FailureDomainId("a/x")))
        expectThat(state.asOf()).isEqualTo(listOf(7L, 7L))
    }

    private inner class TestPeers : PeerGroup {
        override fun sessions(): Collection<StatePeer> = regions.keys - unlisted

        override fun regionOf(peer: StatePeer): RegionId? = regions[peer]

        override val ownRegion = RegionId("north")
    }

    private object TakenOutItems : PublishedItemDecoder {
        override fun decode(item: SourceItem): PublishedItem = PublishedItem.TakenOut(FailureDomainId(item.key))
    }

    private object NoListener : PeerListener {
        override fun opened(session: PeerSession) = Unit

        override fun received(session: PeerSession, frame: PeerFrame) = Unit

        override fun closed(session: PeerSession, reason: String) = Unit

        override fun failed(session: PeerSession, cause: Throwable) = Unit
    }

    private companion object {
        val VALUE = "out".encodeToByteArray()
    }
}
