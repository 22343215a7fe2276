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
    private val scene = CoordinatorScene()
    private val first = document(1, "route" to "x".repeat(2_000))
    private val second = document(2, "route" to "x".repeat(2_000), "more" to "y")
    private val peer = HostId("b1")
    private val otherPeer = HostId("c1")
    private val number get() = scene.coordinator.document.current?.version?.number

    private fun offer(content: ResourceContent, age: Long? = null) =
        VersionOffer(listOf(OfferedVersion(content.kind, content.version, age)))

    private fun payload(content: ResourceContent, base: ResourceContent? = null): VersionPayload {
        val bytes = if (base ==
            null
        ) {
            scene.codec.encodeWhole(content)
        } else {
            scene.codec.encodeDelta(base.deltaTo(content))
        }
        return VersionPayload(
            OfferedVersion(content.kind, content.version, holders = witnesses()),
            base?.version,
            bytes,
        )
    }

    private fun witnesses(): List<HostId> = SpreadRoles(scene.fleet, TEST_SETTINGS).witnesses().map { it.host }.take(4)

    @Nested
    inner class `Given a daemon with version 1 in force` {
        init {
            scene.joinWith(first)
        }

        @Test
        fun `when a peer offers version 2, then it asks with its own base, and the difference goes in force`() {
            scene.act { receive(peer, offer(second)) }
            expectThat(
                scene.messages<PayloadRequest>(peer),
            ).containsExactly(PayloadRequest(ResourceKind.DOCUMENT, second.version, first.version))
            scene.act { receive(peer, payload(second, first)) }
            expectThat(number).isEqualTo(2)
        }

        @Test
        fun `when the holder does not answer, then the next one is asked`() {
            scene.act { receive(peer, offer(second)) }
            scene.act { receive(otherPeer, offer(second)) }
            scene.pass(TEST_SETTINGS.wantTimeout)
            expectThat(scene.messages<PayloadRequest>(otherPeer)).isNotEmpty()
            expectThat(scene.coordinator.counters[VersionEvent.WANT_TIMED_OUT]).isEqualTo(1)
        }

        @Test
        fun `when the holder is busy, then the next one is asked at once, and the first again later`() {
            scene.act { receive(peer, offer(second)) }
            scene.act { receive(otherPeer, offer(second)) }
            scene.act { receive(peer, SenderBusy(ResourceKind.DOCUMENT, 200)) }
            expectThat(scene.messages<PayloadRequest>(otherPeer)).isNotEmpty()
            scene.act { receive(otherPeer, SenderBusy(ResourceKind.DOCUMENT, 5_000)) }
            scene.pass(300.milliseconds)
            expectThat(scene.messages<PayloadRequest>(peer).size).isEqualTo(2)
        }

        @Test
        fun `when the payload is not what it claims, then nothing changes and it is counted`() {
            scene.act { receive(peer, offer(second)) }
            val forged = payload(
                document(2, "other" to "z"),
            ).copy(offered = OfferedVersion(second.kind, second.version))
            scene.act { receive(peer, forged) }
            expectThat(number).isEqualTo(1)
            expectThat(scene.coordinator.counters[VersionEvent.BAD_PAYLOAD]).isEqualTo(1)
        }

        @Test
        fun `when the bytes are cut off, then nothing changes and it is counted`() {
            val whole = payload(second)
            scene.act { receive(peer, whole.copy(bytes = whole.bytes.copyOf(whole.bytes.size / 2))) }
            expectThat(number).isEqualTo(1)
            expectThat(scene.coordinator.counters[VersionEvent.BAD_PAYLOAD]).isEqualTo(1)
        }

        @Test
        fun `when a difference needs an unknown base, then it asks for the whole`() {
            scene.act { receive(peer, offer(second)) }
            scene.act { receive(peer, payload(second, document(9))) }
            expectThat(scene.messages<PayloadRequest>(peer).last().base).isNull()
        }

        @Test
        fun `when version 2 comes without witnesses, then it waits for them, and no longer than the commit wait`() {
            scene.read(second)
            expectThat(number).isEqualTo(1)
            expectThat(scene.messages<VersionOffer>().any { it.acknowledge }).isTrue()
            scene.pass(TEST_SETTINGS.commitWait)
            expectThat(number).isEqualTo(2)
            expectThat(scene.coordinator.counters[VersionEvent.UNDER_WITNESSED]).isGreaterThan(0)
        }

        @Test
        fun `when version 2 comes and three witnesses say that they hold it, then it goes in force`() {
            scene.read(second)
            witnesses().take(3).forEach { host ->
                scene.act { receive(host, VersionAck(ResourceKind.DOCUMENT, second.version)) }
            }
            expectThat(number).isEqualTo(2)
        }

        @Test
        fun `when the source falls back to version 0, then it is refused and counted`() {
            scene.read(document(0))
            expectThat(number).isEqualTo(1)
            expectThat(scene.coordinator.counters[VersionEvent.VERSION_FELL]).isEqualTo(1)
        }

        @Test
        fun `when a watch ends unchanged at version 0, then the source counts as fallen back`() {
            scene.act { sourceOutcome(0, ResourceKind.DOCUMENT, SourceOutcome.Unchanged(0)) }
            expectThat(scene.coordinator.counters[VersionEvent.VERSION_FELL]).isEqualTo(1)
        }

        @Test
        fun `when the source has another version 1, then the one in force stays and it is counted`() {
            scene.read(document(1, "route" to "other"))
            expectThat(scene.coordinator.document.current?.content).isEqualTo(first)
            expectThat(scene.coordinator.counters[VersionEvent.VERSION_CONFLICT]).isEqualTo(1)
        }

        @Test
        fun `when a bad version 2 comes, then it is shown, not relayed and not asked for again`() {
            val bad = document(2, "bad" to "x")
            scene.read(bad)
            scene.act { receive(peer, offer(bad)) }
            scene.pass(2.seconds)
            expectThat(scene.messages<PayloadRequest>()).isEmpty()
            expectThat(
                scene.messages<VersionOffer>().flatMap {
                    it.offered
                }.filter { it.version == bad.version },
            ).isEmpty()
            expectThat(scene.coordinator.document.rejected.single().version).isEqualTo(bad.version)
            scene.act { receive(peer, payload(document(3))) }
            expectThat(number).isEqualTo(3)
        }

        @Test
        fun `when a peer offers an older version, then it gets the newer one offered`() {
            scene.act { receive(peer, offer(document(0))) }
            expectThat(scene.messages<VersionOffer>(peer).single().offered.single().version).isEqualTo(first.version)
        }

        @Test
        fun `when more is asked for than the budget allows, then the peer is told to come back`() {
            val scarce = CoordinatorScene(settings = TEST_SETTINGS.copy(payloadBytesPerSecond = 100))
            scarce.joinWith(first)
            repeat(5) { scarce.act { receive(peer, PayloadRequest(ResourceKind.DOCUMENT, first.version)) } }
            expectThat(scarce.messages<VersionPayload>(peer).size).isEqualTo(1)
            expectThat(scarce.messages<SenderBusy>(peer).size).isEqualTo(4)
        }
    }

    @Nested
    inner class `Given a confirmation that a peer passed on` {
        init {
            scene.joinWith(first)
            scene.act { receive(peer, offer(first, age = 700)) }
        }

        @Test
        fun `when time passes, then its age grows, and the age sent on with it`() {
            scene.clock.time += 900.milliseconds
            expectThat(scene.coordinator.confirmedAge(ResourceKind.DOCUMENT)).isEqualTo(1_600.milliseconds)
            scene.act { receive(peer, VersionQuery(1)) }
            val sent = scene.messages<VersionReply>(peer).single().offered.first { it.kind == ResourceKind.DOCUMENT }
            expectThat(sent.confirmedAgeMs).isEqualTo(1_600)
        }

        @Test
        fun `when it has grown old, then the knowledge is stale and work is still taken`() {
            scene.pass(TEST_SETTINGS.staleAfter)
            expectThat(scene.coordinator.isStale(ResourceKind.DOCUMENT)).isTrue()
            expectThat(scene.coordinator.canAcceptWork()).isTrue()
        }

        @Test
        fun `when a message with an age arrives after a pause, then the age is not believed`() {
            scene.clock.time += 20.seconds
            scene.act { receive(peer, offer(first, age = 0)) }
            expectThat(scene.coordinator.confirmedAge(ResourceKind.DOCUMENT)).isNotNull().isGreaterThan(20.seconds)
        }
    }

    @Nested
    inner class `Given a daemon that was paused` {
        init {
            scene.joinWith(first)
            scene.clock.time += 5.seconds
        }

        @Test
        fun `when no step has run yet, then it takes no work`() {
            expectThat(scene.coordinator.canAcceptWork()).isFalse()
        }

        @Test
        fun `when a joined peer answers, then it takes work`() {
            scene.act { tick() }
            expectThat(scene.coordinator.canAcceptWork()).isFalse()
            val nonce = scene.messages<VersionQuery>().last().nonce
            scene.act { receive(peer, VersionReply(nonce, joined = true, seenNumber = 1)) }
            expectThat(scene.coordinator.canAcceptWork()).isTrue()
        }

        @Test
        fun `when a peer answers that has itself not made sure, then it takes no work yet`() {
            scene.act { tick() }
            val nonce = scene.messages<VersionQuery>().last().nonce
            scene.act { receive(peer, VersionReply(nonce, joined = false, seenNumber = 1)) }
            expectThat(scene.coordinator.canAcceptWork()).isFalse()
        }

        @Test
        fun `when an answer to an earlier question comes, then it takes no work yet`() {
            scene.act { tick() }
            scene.act { receive(peer, VersionReply(nonce = 77, joined = true, seenNumber = 1)) }
            expectThat(scene.coordinator.canAcceptWork()).isFalse()
        }

        @Test
        fun `when a peer knows version 2, then it takes work once that is in force`() {
            scene.act { tick() }
            val nonce = scene.messages<VersionQuery>().last().nonce
            val offered = listOf(OfferedVersion(second.kind, second.version))
            scene.act { receive(peer, VersionReply(nonce, joined = true, seenNumber = 2, offered)) }
            expectThat(scene.coordinator.canAcceptWork()).isFalse()
            scene.act { receive(peer, payload(second, first)) }
            expectThat(scene.coordinator.canAcceptWork()).isTrue()
        }

        @Test
        fun `when nobody answers, then it takes work after the bound`() {
            scene.act { tick() }
            scene.pass(TEST_SETTINGS.awakeWait)
            expectThat(scene.coordinator.canAcceptWork()).isTrue()
            expectThat(scene.coordinator.counters[VersionEvent.AWOKE_UNCONFIRMED]).isEqualTo(1)
        }
    }

    @Nested
    inner class `Given a daemon that has not joined` {
        @Test
        fun `when it holds version 1 and 2 as it joins, then version 1 never goes in force`() {
            scene.read(hostListOf(1))
            scene.read(first)
            scene.read(second)
            scene.act { receive(peer, payload(first)) }
            witnesses().forEach { host ->
                scene.act { receive(host, VersionAck(ResourceKind.DOCUMENT, first.version)) }
            }
            scene.pass(TEST_SETTINGS.joinWait + 100.milliseconds)
            expectThat(number == null || number == 2L).isTrue()
            scene.pass(TEST_SETTINGS.commitWait)
            expectThat(number).isEqualTo(2)
        }

        @Test
        fun `when it is asked, then it says that it does not know`() {
            scene.read(hostListOf(1))
            scene.read(first)
            scene.act { receive(peer, VersionQuery(5)) }
            val answer = scene.messages<VersionReply>(peer).single()
            expectThat(answer.joined).isFalse()
        }

        @Test
        fun `when the source gives version 1, then nothing is in force and no work is taken`() {
            scene.read(hostListOf(1))
            scene.read(first)
            scene.pass(TEST_SETTINGS.commitWait + 500.milliseconds)
            expectThat(number).isNull()
            expectThat(scene.coordinator.canAcceptWork()).isFalse()
        }

        @Test
        fun `when witnesses know version 2 and the source gives version 1, then version 2 goes in force first`() {
            scene.read(hostListOf(1))
            scene.read(first)
            scene.act { tick() }
            val nonce = scene.messages<VersionQuery>().last().nonce
            val offered = listOf(OfferedVersion(second.kind, second.version, holders = witnesses()))
            SpreadRoles(scene.fleet, TEST_SETTINGS).witnesses().forEach { witness ->
                scene.act { receive(witness.host, VersionReply(nonce, joined = true, seenNumber = 2, offered)) }
            }
            expectThat(number).isNull()
            scene.act { receive(peer, payload(second)) }
            expectThat(number).isEqualTo(2)
            expectThat(scene.coordinator.isJoinUnwitnessed).isFalse()
        }
    }

    @Test
    fun `Given steps from version 1 to 5, when a peer has any of them, then it gets one difference`() {
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
