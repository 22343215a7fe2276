package kingcuptide.coordination.process

import kingcuptide.coordination.connection.ControlEnvelope
import kingcuptide.coordination.connection.Gossip
import kingcuptide.coordination.connection.MAX_MEMBERSHIP_MESSAGE_BYTES
import kingcuptide.coordination.connection.Probe
import kingcuptide.coordination.connection.ProbeAck
import kingcuptide.coordination.connection.SenderState
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class MembershipTest {
    private val clock = SettableClock()
    private val self = hostEntry("me")
    private val peer = hostEntry("peer")
    private val membership = membershipOf(MembershipSettings())

    private fun membershipOf(settings: MembershipSettings): Membership =
        membership(settings, self, Incarnation(10), clock, Random(SEED))

    private fun tickFor(duration: Duration) {
        val end = clock.time + duration
        while (clock.time < end) {
            clock.time += 100.milliseconds
            membership.tick()
        }
    }

    private fun receiveGossip(host: HostEntry, incarnation: Long = 5) =
        membership.receive(host.host, Gossip(SenderState(incarnation, 0, 0), emptyList()))

    @Nested
    inner class `Given host lists of the platform` {
        @Test
        fun `when a list does not contain this host, then the view still contains it`() {
            membership.updateHostList(HostList(1, listOf(peer)))

            expectThat(membership.hostList.hosts).contains(self)
            expectThat(membership.liveness(self.host)).isEqualTo(Liveness.ALIVE)
        }

        @Test
        fun `when an older list arrives, then it changes nothing`() {
            membership.updateHostList(HostList(5, listOf(peer)))
            membership.updateHostList(HostList(4, emptyList()))

            expectThat(membership.hostList.hosts).hasSize(2)
            membership.tick()
            expectThat(membership.counters.staleHostLists).isEqualTo(1)
        }

        @Test
        fun `when no state of a host was ever received, then it is unknown`() {
            membership.updateHostList(HostList(1, listOf(peer)))

            expectThat(membership.liveness(peer.host)).isEqualTo(Liveness.UNKNOWN)
            expectThat(membership.incarnation(peer.host)).isEqualTo(null)
        }

        @Test
        fun `when a live host is leaving according to the list, then it is leaving`() {
            membership.updateHostList(HostList(1, listOf(peer.copy(state = HostState.LEAVING))))
            receiveGossip(peer)

            expectThat(membership.liveness(peer.host)).isEqualTo(Liveness.LEAVING)
        }

        @Test
        fun `when no list has arrived, then the fleet consists of the seeds`() {
            val seeded = membershipOf(MembershipSettings(seeds = listOf(peer)))

            expectThat(seeded.entry(peer.host)).isEqualTo(peer)
        }
    }

    @Nested
    inner class `Given a peer that sent a message` {
        init {
            membership.updateHostList(HostList(1, listOf(peer)))
            membership.tick()
            receiveGossip(peer)
        }

        @Test
        fun `when a connection to it fails, then it is probed at once and stays alive`() {
            tickFor(100.milliseconds)
            membership.reportConnectionFailure(peer.host)
            clock.time += 50.milliseconds

            expectThat(membership.tick().map { it.message }.filterIsInstance<Probe>()).isNotEmpty()
            expectThat(membership.liveness(peer.host)).isEqualTo(Liveness.ALIVE)
        }

        @Test
        fun `when it never answers, then it is suspected first and declared dead later`() {
            tickFor(4.seconds)
            expectThat(membership.liveness(peer.host)).isEqualTo(Liveness.SUSPECT)

            tickFor(6.seconds)
            expectThat(membership.liveness(peer.host)).isEqualTo(Liveness.DEAD)
        }

        @Test
        fun `when this process pauses while a probe is pending, then the peer is not suspected`() {
            tickFor(400.milliseconds)
            clock.time += 4.seconds
            membership.tick()
            tickFor(500.milliseconds)

            expectThat(membership.liveness(peer.host)).isEqualTo(Liveness.ALIVE)
            expectThat(membership.counters.suspicions).isEqualTo(0)
        }

        @Test
        fun `when this process paused for longer than the suspicion timeout, then it raises its incarnation`() {
            clock.time += 6.seconds
            membership.tick()

            expectThat(membership.incarnation(self.host)).isEqualTo(Incarnation(11))
        }

        @Test
        fun `when it restarts, then a delayed message does not restore its former incarnation`() {
            receiveGossip(peer, incarnation = 9)
            receiveGossip(peer, incarnation = 5)

            expectThat(membership.incarnation(peer.host)).isEqualTo(Incarnation(9))
        }

        @Test
        fun `when it sends a probe, then the ack has the same sequence number`() {
            val replies = membership.receive(peer.host, Probe(SenderState(5, 0, 0), sequence = 77))

            expectThat(replies.map { (it.message as ProbeAck).sequence }).isEqualTo(listOf(77))
        }

        @Test
        fun `when this daemon leaves, then it announces that at once`() {
            val before = membership.generation

            expectThat(membership.leave()).isNotEmpty()
            expectThat(membership.liveness(self.host)).isEqualTo(Liveness.LEAVING)
            expectThat(membership.generation).isGreaterThan(before)
            expectThat(membership.leave()).isEmpty()
        }
    }

    @Nested
    inner class `Given a message from a host that is not on the list` {
        @Test
        fun `when it is a probe, then it is acked and no state is stored`() {
            val replies = membership.receive(HostId("stranger"), Probe(SenderState(5, 0, 0), sequence = 1))

            expectThat(replies).hasSize(1)
            expectThat(membership.liveness(HostId("stranger"))).isEqualTo(Liveness.UNKNOWN)
        }
    }

    @Nested
    inner class `Given a fleet whose incarnations have the longest encoding` {
        @Test
        fun `when all updates are gossiped and synced, then each message fits a datagram and decodes unchanged`() {
            val fleet = (0 until 1_100).map { hostEntry("host-%04d".format(it)) }
            membership.updateHostList(HostList(1, fleet))
            val sent = fleet.flatMapIndexed { index, host ->
                clock.time += 10.milliseconds
                val incarnation = if (index % 2 == 0) Long.MAX_VALUE / 4 - index else Long.MIN_VALUE / 4 + index
                receiveGossip(host, incarnation) + membership.tick()
            }
            val sender = HostId("h".repeat(64))
            val encoded = sent.map { Cbor.encodeToByteArray(ControlEnvelope(sender, it.message)) }

            expectThat(encoded.map { it.size }).isNotEmpty().all { isLessThanOrEqualTo(MAX_MEMBERSHIP_MESSAGE_BYTES) }
            expectThat(
                encoded.map {
                    Cbor.decodeFromByteArray<ControlEnvelope>(it).message
                },
            ).isEqualTo(sent.map { it.message })
        }
    }

    private companion object {
        const val SEED = 3L
    }
}
