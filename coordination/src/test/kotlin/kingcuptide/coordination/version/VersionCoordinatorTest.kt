package kingcuptide.coordination.version

import com.github.michaelbull.result.get
import kingcuptide.coordination.connection.OfferedVersion
import kingcuptide.coordination.connection.PayloadRequest
import kingcuptide.coordination.connection.SenderBusy
import kingcuptide.coordination.connection.VersionAck
import kingcuptide.coordination.connection.VersionOffer
import kingcuptide.coordination.connection.VersionPayload
import kingcuptide.coordination.connection.VersionQuery
import kingcuptide.coordination.connection.VersionReply
import kingcuptide.coordination.process.HostId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class VersionCoordinatorTest {
    private val fixture = CoordinatorFixture()
    private val first = document(1, "route" to "x".repeat(2_000))
    private val second = document(2, "route" to "x".repeat(2_000), "more" to "y")
    private val peer = HostId("b1")
    private val otherPeer = HostId("c1")
    private val number get() = fixture.coordinator.document.current?.version?.number

    private fun offer(content: ResourceContent, age: Long? = null) =
        VersionOffer(listOf(OfferedVersion(content.kind, content.version, age)))

    private fun payload(content: ResourceContent, base: ResourceContent? = null): VersionPayload {
        val bytes = if (base ==
            null
        ) {
            fixture.codec.encodeWhole(content)
        } else {
            fixture.codec.encodeDelta(base.deltaTo(content))
        }
        return VersionPayload(
            OfferedVersion(content.kind, content.version, holders = witnesses()),
            base?.version,
            bytes,
        )
    }

    private fun witnesses(): List<HostId> =
        DistributionRoles(fixture.fleet, TEST_SETTINGS).witnesses().map { it.host }.take(4)

    @Nested
    inner class `Given a daemon with version 1 in force` {
        init {
            fixture.joinWith(first)
        }

        @Test
        fun `when a peer offers version 2, then it is requested as a delta and put in force`() {
            fixture.perform { receive(peer, offer(second)) }
            expectThat(
                fixture.messages<PayloadRequest>(peer),
            ).containsExactly(PayloadRequest(ResourceKind.DOCUMENT, second.version, first.version))
            fixture.perform { receive(peer, payload(second, first)) }
            expectThat(number).isEqualTo(2)
        }

        @Test
        fun `when a peer does not reply, then the next one gets the request`() {
            fixture.perform { receive(peer, offer(second)) }
            fixture.perform { receive(otherPeer, offer(second)) }
            fixture.advanceTime(TEST_SETTINGS.payloadTimeout)
            expectThat(fixture.messages<PayloadRequest>(otherPeer)).isNotEmpty()
            expectThat(fixture.coordinator.counters[VersionEvent.WANT_TIMED_OUT]).isEqualTo(1)
        }

        @Test
        fun `when a peer is busy, then the next one gets the request at once, and the first again later`() {
            fixture.perform { receive(peer, offer(second)) }
            fixture.perform { receive(otherPeer, offer(second)) }
            fixture.perform { receive(peer, SenderBusy(ResourceKind.DOCUMENT, 200)) }
            expectThat(fixture.messages<PayloadRequest>(otherPeer)).isNotEmpty()
            fixture.perform { receive(otherPeer, SenderBusy(ResourceKind.DOCUMENT, 5_000)) }
            fixture.advanceTime(300.milliseconds)
            expectThat(fixture.messages<PayloadRequest>(peer).size).isEqualTo(2)
        }

        @Test
        fun `when a payload does not match its version, then nothing changes and it is counted`() {
            fixture.perform { receive(peer, offer(second)) }
            val mismatched = payload(
                document(2, "other" to "z"),
            ).copy(offered = OfferedVersion(second.kind, second.version))
            fixture.perform { receive(peer, mismatched) }
            expectThat(number).isEqualTo(1)
            expectThat(fixture.coordinator.counters[VersionEvent.BAD_PAYLOAD]).isEqualTo(1)
        }

        @Test
        fun `when the bytes are truncated, then nothing changes and it is counted`() {
            val whole = payload(second)
            fixture.perform { receive(peer, whole.copy(bytes = whole.bytes.copyOf(whole.bytes.size / 2))) }
            expectThat(number).isEqualTo(1)
            expectThat(fixture.coordinator.counters[VersionEvent.BAD_PAYLOAD]).isEqualTo(1)
        }

        @Test
        fun `when a delta needs an unknown base, then the whole content is requested`() {
            fixture.perform { receive(peer, offer(second)) }
            fixture.perform { receive(peer, payload(second, document(9))) }
            expectThat(fixture.messages<PayloadRequest>(peer).last().base).isNull()
        }

        @Test
        fun `when version 2 arrives without witnesses, then it waits for them, at most for the commit wait`() {
            fixture.deliver(second)
            expectThat(number).isEqualTo(1)
            expectThat(fixture.messages<VersionOffer>().any { it.acknowledge }).isTrue()
            fixture.advanceTime(TEST_SETTINGS.commitWait)
            expectThat(number).isEqualTo(2)
            expectThat(fixture.coordinator.counters[VersionEvent.UNDER_WITNESSED]).isGreaterThan(0)
        }

        @Test
        fun `when version 2 arrives and three witnesses acknowledge it, then it is put in force`() {
            fixture.deliver(second)
            witnesses().take(3).forEach { host ->
                fixture.perform { receive(host, VersionAck(ResourceKind.DOCUMENT, second.version)) }
            }
            expectThat(number).isEqualTo(2)
        }

        @Test
        fun `when the source falls back to version 0, then that is rejected and counted`() {
            fixture.deliver(document(0))
            expectThat(number).isEqualTo(1)
            expectThat(fixture.coordinator.counters[VersionEvent.VERSION_FELL]).isEqualTo(1)
        }

        @Test
        fun `when a watch ends unchanged at version 0, then that counts as a fall of the source`() {
            fixture.perform { sourceOutcome(0, ResourceKind.DOCUMENT, SourceOutcome.Unchanged(0)) }
            expectThat(fixture.coordinator.counters[VersionEvent.VERSION_FELL]).isEqualTo(1)
        }

        @Test
        fun `when the source has a different version 1, then the one in force stays and it is counted`() {
            fixture.deliver(document(1, "route" to "other"))
            expectThat(fixture.coordinator.document.current?.content).isEqualTo(first)
            expectThat(fixture.coordinator.counters[VersionEvent.VERSION_CONFLICT]).isEqualTo(1)
        }

        @Test
        fun `when an invalid version 2 arrives, then it is listed, not relayed and not requested again`() {
            val bad = document(2, "bad" to "x")
            fixture.deliver(bad)
            fixture.perform { receive(peer, offer(bad)) }
            fixture.advanceTime(2.seconds)
            expectThat(fixture.messages<PayloadRequest>()).isEmpty()
            expectThat(
                fixture.messages<VersionOffer>().flatMap {
                    it.offered
                }.filter { it.version == bad.version },
            ).isEmpty()
            expectThat(fixture.coordinator.document.rejected.single().version).isEqualTo(bad.version)
            fixture.perform { receive(peer, payload(document(3))) }
            expectThat(number).isEqualTo(3)
        }

        @Test
        fun `when a peer offers an older version, then it is offered the newer one`() {
            fixture.perform { receive(peer, offer(document(0))) }
            expectThat(fixture.messages<VersionOffer>(peer).single().offered.single().version).isEqualTo(first.version)
        }

        @Test
        fun `when requests exceed the send budget, then the peer is told to retry`() {
            val limited = CoordinatorFixture(settings = TEST_SETTINGS.copy(payloadBytesPerSecond = 100))
            limited.joinWith(first)
            repeat(5) { limited.perform { receive(peer, PayloadRequest(ResourceKind.DOCUMENT, first.version)) } }
            expectThat(limited.messages<VersionPayload>(peer).size).isEqualTo(1)
            expectThat(limited.messages<SenderBusy>(peer).size).isEqualTo(4)
        }
    }

    @Nested
    inner class `Given a confirmation that a peer has sent` {
        init {
            fixture.joinWith(first)
            fixture.perform { receive(peer, offer(first, age = 700)) }
        }

        @Test
        fun `when time passes, then its age grows, and so does the age that is sent on`() {
            fixture.clock.time += 900.milliseconds
            expectThat(fixture.coordinator.confirmedAge(ResourceKind.DOCUMENT)).isEqualTo(1_600.milliseconds)
            fixture.perform { receive(peer, VersionQuery(1)) }
            val sent = fixture.messages<VersionReply>(peer).single().offered.first { it.kind == ResourceKind.DOCUMENT }
            expectThat(sent.confirmedAgeMs).isEqualTo(1_600)
        }

        @Test
        fun `when it is old, then the version is stale and requests are still accepted`() {
            fixture.advanceTime(TEST_SETTINGS.staleAfter)
            expectThat(fixture.coordinator.isStale(ResourceKind.DOCUMENT)).isTrue()
            expectThat(fixture.coordinator.canAcceptWork()).isTrue()
        }

        @Test
        fun `when a message with an age arrives after a pause, then the age is ignored`() {
            fixture.clock.time += 20.seconds
            fixture.perform { receive(peer, offer(first, age = 0)) }
            expectThat(fixture.coordinator.confirmedAge(ResourceKind.DOCUMENT)).isNotNull().isGreaterThan(20.seconds)
        }
    }

    @Nested
    inner class `Given a daemon that was paused` {
        init {
            fixture.joinWith(first)
            fixture.clock.time += 5.seconds
        }

        @Test
        fun `when no step has run yet, then it accepts no requests`() {
            expectThat(fixture.coordinator.canAcceptWork()).isFalse()
        }

        @Test
        fun `when a joined peer replies, then it accepts requests`() {
            fixture.perform { tick() }
            expectThat(fixture.coordinator.canAcceptWork()).isFalse()
            val nonce = fixture.messages<VersionQuery>().last().nonce
            fixture.perform { receive(peer, VersionReply(nonce, joined = true, seenNumber = 1)) }
            expectThat(fixture.coordinator.canAcceptWork()).isTrue()
        }

        @Test
        fun `when a peer replies that has not joined, then it accepts no requests yet`() {
            fixture.perform { tick() }
            val nonce = fixture.messages<VersionQuery>().last().nonce
            fixture.perform { receive(peer, VersionReply(nonce, joined = false, seenNumber = 1)) }
            expectThat(fixture.coordinator.canAcceptWork()).isFalse()
        }

        @Test
        fun `when a reply to an earlier query arrives, then it accepts no requests yet`() {
            fixture.perform { tick() }
            fixture.perform { receive(peer, VersionReply(nonce = 77, joined = true, seenNumber = 1)) }
            expectThat(fixture.coordinator.canAcceptWork()).isFalse()
        }

        @Test
        fun `when a peer knows version 2, then it accepts requests once that is in force`() {
            fixture.perform { tick() }
            val nonce = fixture.messages<VersionQuery>().last().nonce
            val offered = listOf(OfferedVersion(second.kind, second.version))
            fixture.perform { receive(peer, VersionReply(nonce, joined = true, seenNumber = 2, offered)) }
            expectThat(fixture.coordinator.canAcceptWork()).isFalse()
            fixture.perform { receive(peer, payload(second, first)) }
            expectThat(fixture.coordinator.canAcceptWork()).isTrue()
        }

        @Test
        fun `when no peer replies, then it accepts requests after the recovery wait`() {
            fixture.perform { tick() }
            fixture.advanceTime(TEST_SETTINGS.recoveryWait)
            expectThat(fixture.coordinator.canAcceptWork()).isTrue()
            expectThat(fixture.coordinator.counters[VersionEvent.AWOKE_UNCONFIRMED]).isEqualTo(1)
        }
    }

    @Nested
    inner class `Given a daemon that has not joined` {
        @Test
        fun `when it has versions 1 and 2 as it joins, then version 1 is never put in force`() {
            fixture.deliver(hostListOf(1))
            fixture.deliver(first)
            fixture.deliver(second)
            fixture.perform { receive(peer, payload(first)) }
            witnesses().forEach { host ->
                fixture.perform { receive(host, VersionAck(ResourceKind.DOCUMENT, first.version)) }
            }
            fixture.advanceTime(TEST_SETTINGS.joinWait + 100.milliseconds)
            expectThat(number == null || number == 2L).isTrue()
            fixture.advanceTime(TEST_SETTINGS.commitWait)
            expectThat(number).isEqualTo(2)
        }

        @Test
        fun `when it gets a query, then it replies that it has not joined`() {
            fixture.deliver(hostListOf(1))
            fixture.deliver(first)
            fixture.perform { receive(peer, VersionQuery(5)) }
            val reply = fixture.messages<VersionReply>(peer).single()
            expectThat(reply.joined).isFalse()
        }

        @Test
        fun `when it reads version 1 from the source, then nothing is in force and no requests are accepted`() {
            fixture.deliver(hostListOf(1))
            fixture.deliver(first)
            fixture.advanceTime(TEST_SETTINGS.commitWait + 500.milliseconds)
            expectThat(number).isNull()
            expectThat(fixture.coordinator.canAcceptWork()).isFalse()
        }

        @Test
        fun `when witnesses have version 2 and the source has version 1, then version 2 is put in force first`() {
            fixture.deliver(hostListOf(1))
            fixture.deliver(first)
            fixture.perform { tick() }
            val nonce = fixture.messages<VersionQuery>().last().nonce
            val offered = listOf(OfferedVersion(second.kind, second.version, holders = witnesses()))
            DistributionRoles(fixture.fleet, TEST_SETTINGS).witnesses().forEach { witness ->
                fixture.perform { receive(witness.host, VersionReply(nonce, joined = true, seenNumber = 2, offered)) }
            }
            expectThat(number).isNull()
            fixture.perform { receive(peer, payload(second)) }
            expectThat(number).isEqualTo(2)
            expectThat(fixture.coordinator.isJoinUnwitnessed).isFalse()
        }
    }

    @Test
    fun `Given deltas from version 1 to 5, when a peer has any earlier version, then it gets one delta`() {
        val versions = (1L..5).map { document(it, "a" to "${it / 2}", "b$it" to "x") }
        val history = DeltaHistory()
        versions.zipWithNext().forEach { (base, target) -> history.add(base.deltaTo(target)) }
        for (base in versions.dropLast(1)) {
            val delta = history.between(base.version, versions.last().version)
            expectThat(delta?.let { base.apply(it).get()?.version }).isEqualTo(versions.last().version)
        }
        expectThat(history.between(document(9).version, versions.last().version)).isNull()
    }
}
