package kingcuptide.coordination.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.ManualClock
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class PublishedStateTest {
    private val clock = ManualClock()
    private val state = PublishedState(clock, ::decode)

    private fun item(key: String, revision: Long, value: String?) = SourceItem(
        key,
        revision,
        value?.encodeToByteArray(),
    )

    /** Values are `config:N`, `out:DOMAIN`, `target:SERVICE:STATE:REPORTS` with `:START` or without, or anything else. */
    private fun decode(item: SourceItem): PublishedItem {
        val parts = checkNotNull(item.value).decodeToString().split(':')
        return when (parts[0]) {
            "config" -> PublishedItem.Configuration(RoutingVersion(parts[1].toLong(), emptyList(), emptyMap(), LIMITS))
            "out" -> PublishedItem.TakenOut(FailureDomainId(parts[1]))
            "target" -> PublishedItem.Target(
                entry(
                    item.key,
                    parts[1],
                    parts[2] == "leaving",
                    parts[3].toLong(),
                    parts.getOrElse(4) {
                        "0"
                    }.toLong(),
                ),
            )
            else -> PublishedItem.Unusable("unknown")
        }
    }

    private fun entry(id: String, service: String, leaving: Boolean, reports: Long, start: Long) = TargetEntry(
        TargetId(id),
        ServiceId(service),
        "192.0.2.1",
        portOf(id),
        FailureDomainId("a"),
        "v1",
        12,
        leaving,
        Duration.ZERO,
        start,
        reports,
    )

    /** Keys that differ only behind a slash stand for targets that follow each other at one address. */
    private fun portOf(id: String) = id.substringBefore('/').first().code

    @Nested
    inner class `A copy of a section` {
        private val section = PublishedSection("t/")

        @Test
        fun `Given a copy, when an older complete listing arrives, then nothing changes`() {
            section.replace(listOf(item("t/a", 5, "x")), 9)
            expectThat(section.replace(listOf(item("t/a", 3, "old")), 8)).isEmpty()
            expectThat(section.asOf).isEqualTo(9)
        }

        @Test
        fun `Given a copy, when the source has lost its history, then a complete listing removes missing items`() {
            section.replace(listOf(item("t/a", 5, "x"), item("t/b", 6, "y")), 9)
            val changed = section.replace(listOf(item("t/b", 6, "y"), item("t/c", 20, "z")), 30)
            expectThat(changed.map { it.key to (it.value == null) })
                .containsExactlyInAnyOrder("t/c" to false, "t/a" to true)
        }

        @Test
        fun `Given changes that start after the revision of the copy, when they arrive, then the gap is reported`() {
            section.replace(emptyList(), 9)
            expectThat(section.advance(12, listOf(item("t/a", 13, "x")), 13)).isNull()
            expectThat(section.asOf).isEqualTo(9)
        }

        @Test
        fun `Given changes that a peer has sent, when the source sends them too, then nothing changes`() {
            section.replace(emptyList(), 9)
            section.merge(listOf(item("t/a", 11, "x")))
            expectThat(
                section.advance(9, listOf(item("t/a", 10, "old"), item("t/a", 11, "x")), 11),
            ).isEqualTo(emptyList())
        }

        @Test
        fun `Given a copy, when a peer that is behind lists a later item, then it is applied and nothing is removed`() {
            section.replace(listOf(item("t/a", 5, "x")), 9)
            expectThat(section.replace(listOf(item("t/b", 10, "y"), item("t/c", 6, "gone")), 7).map { it.key })
                .containsExactly("t/b")
            expectThat(section.asOf).isEqualTo(9)
            expectThat(section.present().map { it.key }).containsExactlyInAnyOrder("t/a", "t/b")
        }

        @Test
        fun `Given a missed removal, when a peer lists what changed since, then the item is removed`() {
            val peer = PublishedSection("t/")
            for (copy in listOf(
                section,
                peer,
            )) {
                copy.recordEffect(copy.replace(listOf(item("t/a", 5, "x"), item("t/b", 6, "y")), 9))
            }
            peer.recordEffect(peer.advance(9, listOf(item("t/a", 12, null), item("t/c", 13, "z")), 14).orEmpty())
            val listing = peer.listingSince(section.asOf)
            expectThat(listing.items.map { it.key }).containsExactly("t/c")
            expectThat(listing.unchangedKeys).containsExactly("t/b")
            section.apply(listing)
            expectThat(section.present().map { it.key }).containsExactlyInAnyOrder("t/b", "t/c")
            expectThat(section.asOf).isEqualTo(14)
        }

        @Test
        fun `Given a copy that lacks an item, when a listing names it as unchanged, then the listing is refused`() {
            section.replace(listOf(item("t/a", 5, "x")), 9)
            expectThat(section.apply(SectionListing(9, 14, emptyList(), listOf("t/a", "t/b")))).isNull()
            expectThat(section.apply(SectionListing(10, 14, emptyList(), listOf("t/a")))).isNull()
            expectThat(section.asOf).isEqualTo(9)
        }

        @Test
        fun `Given a gap before a removal, when the removed item arrives late, then it stays removed`() {
            section.replace(emptyList(), 9)
            section.merge(listOf(item("t/a", 14, null)))
            expectThat(section.advance(9, listOf(item("t/a", 11, "late")), 12)).isEqualTo(emptyList())
            section.advance(12, emptyList(), 20)
            expectThat(section.merge(listOf(item("t/a", 11, "late")))).isEmpty()
            expectThat(section.present()).isEmpty()
        }

        @Test
        fun `Given a removed item, when a peer sends an older copy of it, then it stays removed`() {
            section.replace(listOf(item("t/a", 5, "x")), 9)
            section.advance(9, listOf(item("t/a", 12, null)), 12)
            expectThat(section.merge(listOf(item("t/a", 7, "late")))).isEmpty()
            expectThat(section.present()).isEmpty()
        }
    }

    @Nested
    inner class `The published state` {
        @Test
        fun `Given a version in force, when an older one arrives with a newer revision, then it is ignored`() {
            state.apply(listOf(item("config", 5, "config:7")))
            state.apply(listOf(item("config", 6, "config:4")))
            expectThat(state.routing?.number).isEqualTo(7)
        }

        @Test
        fun `Given a target, when it only reports again, then no changed item is returned`() {
            state.apply(listOf(item("t", 5, "target:s:ready:1")))
            val before = state.digest()
            expectThat(state.apply(listOf(item("t", 6, "target:s:ready:2")))).isEmpty()
            expectThat(state.digest()).isEqualTo(before)
            expectThat(state.apply(listOf(item("t", 7, "target:s:leaving:3"))).map { it.key }).containsExactly("t")
            expectThat(state.digest()).isNotEqualTo(before)
        }

        @Test
        fun `Given a target that ended without a word, when another is at its address, then only that one is used`() {
            state.apply(listOf(item("t/old", 5, "target:s:ready:1"), item("u", 6, "target:s:ready:1")))
            state.apply(listOf(item("t/new", 7, "target:s:ready:1")))
            expectThat(state.targetsOf(ServiceId("s")).map { it.entry.id.value })
                .containsExactlyInAnyOrder("t/new", "u")
            state.apply(listOf(item("t/new", 9, null)))
            expectThat(state.targetsOf(ServiceId("s")).map { it.entry.id.value })
                .containsExactlyInAnyOrder("t/old", "u")
        }

        @Test
        fun `Given a target that follows another, when a late report of the earlier is stored, then it stays unused`() {
            state.apply(listOf(item("t/old", 5, "target:s:ready:1:1000")))
            state.apply(listOf(item("t/new", 7, "target:s:ready:1:2000")))
            state.apply(listOf(item("t/old", 8, "target:s:leaving:2:1000")))
            expectThat(state.targetsOf(ServiceId("s")).map { it.entry.id.value }).containsExactly("t/new")
        }

        @Test
        fun `Given two targets, when one leaves and the other is back, then the digest differs`() {
            state.apply(listOf(item("t", 5, "target:s:ready:1"), item("u", 6, "target:s:leaving:1")))
            val before = state.digest()
            state.apply(listOf(item("t", 7, "target:s:leaving:2"), item("u", 8, "target:s:ready:2")))
            expectThat(state.digest()).isNotEqualTo(before)
        }

        @Test
        fun `Given a removed target in its grace period, when another daemon never had it, then both digests agree`() {
            val other = PublishedState(clock, ::decode)
            state.confirmed(Duration.ZERO)
            state.apply(listOf(item("t", 5, "target:s:ready:1"), item("config", 6, "config:7")))
            clock.advance(5.seconds)
            state.confirmed(Duration.ZERO)
            state.apply(listOf(item("t", 9, null)))
            other.apply(listOf(item("config", 6, "config:7")))
            expectThat(state.targetsOf(ServiceId("s")).size).isEqualTo(1)
            expectThat(state.digest()).isEqualTo(other.digest())
        }

        @Test
        fun `Given a target, when its entry is corrupted, then only that target is removed`() {
            state.apply(listOf(item("t", 5, "target:s:ready:1"), item("u", 6, "target:s:ready:1")))
            state.apply(listOf(item("t", 7, "{broken")))
            expectThat(state.targetsOf(ServiceId("s")).map { it.entry.id.value }).containsExactly("u")
        }

        @Test
        fun `Given an outage of the source, when entries are removed after it, then they stay for a grace period`() {
            state.confirmed(Duration.ZERO)
            state.apply(listOf(item("t", 5, "target:s:ready:1")))
            clock.advance(5.seconds)
            state.confirmed(Duration.ZERO)
            state.apply(listOf(item("t", 9, null)))
            clock.advance(1_900.milliseconds)
            state.tick()
            expectThat(state.targetsOf(ServiceId("s")).size).isEqualTo(1)
            clock.advance(200.milliseconds)
            state.tick()
            expectThat(state.targetsOf(ServiceId("s"))).isEmpty()
        }

        @Test
        fun `Given a target in its grace period, when it reports again, then it stays`() {
            state.confirmed(Duration.ZERO)
            state.apply(listOf(item("t", 5, "target:s:ready:1")))
            clock.advance(5.seconds)
            state.confirmed(Duration.ZERO)
            state.apply(listOf(item("t", 9, null)))
            state.apply(listOf(item("t", 10, "target:s:ready:1")))
            clock.advance(5.seconds)
            state.tick()
            expectThat(state.targetsOf(ServiceId("s")).size).isEqualTo(1)
        }

        /** A daemon far from the readers gets confirmations rarely, also while the source is available. */
        @Test
        fun `Given the longest gap in confirmations without outage, when an entry is removed, then it is gone`() {
            state.confirmed(Duration.ZERO)
            state.apply(listOf(item("t", 5, "target:s:ready:1")))
            clock.advance(ReaderRole.MAX_STALE_AGE)
            state.confirmed(Duration.ZERO)
            state.apply(listOf(item("t", 9, null)))
            expectThat(state.targetsOf(ServiceId("s"))).isEmpty()
        }

        @Test
        fun `Given a source in contact, when an entry is removed, then it is gone at once`() {
            state.confirmed(Duration.ZERO)
            state.apply(listOf(item("t", 5, "target:s:ready:1")))
            clock.advance(600.milliseconds)
            state.confirmed(Duration.ZERO)
            state.apply(listOf(item("t", 9, null)))
            expectThat(state.targetsOf(ServiceId("s"))).isEmpty()
        }

        @Test
        fun `Given a failure domain taken out, when that is undone, then both changes are applied`() {
            state.apply(listOf(item("o", 5, "out:a")))
            expectThat(state.takenOut).containsExactly(FailureDomainId("a"))
            state.apply(listOf(item("o", 6, null)))
            expectThat(state.takenOut).isEmpty()
        }
    }

    /** Revisions of the source go back when it is restored; its era rises. */
    @Nested
    inner class `A source that comes back from an older copy` {
        private val section = PublishedSection("t/", state)

        private fun later(key: String, revision: Long, value: String?) = item(
            key,
            SourcePosition.of(1, revision),
            value,
        )

        private fun restored(vararg items: SourceItem, asOf: Long = 150, keepsLost: Boolean = true) {
            state.sourceRestored(1)
            state.apply(section.replace(items.toList(), SourcePosition.of(1, asOf), keepsLost))
        }

        private fun read(vararg items: SourceItem) {
            val changed = section.replace(items.toList(), 209)
            section.recordEffect(changed)
            state.apply(changed)
        }

        @Test
        fun `Given a later era, when its revisions are lower, then they still replace those before`() {
            read(item("t/a", 200, "target:s:ready:5"))
            restored(later("t/a", 140, "target:s:ready:6"))
            expectThat(section.asOf).isEqualTo(SourcePosition.of(1, 150))
            expectThat(section.item("t/a")?.revision).isEqualTo(SourcePosition.of(1, 140))
        }

        @Test
        fun `Given a lost document, when the older one is offered, then the later one stays and is passed on`() {
            read(item("t/c", 200, "config:41"))
            restored(later("t/c", 100, "config:40"))
            expectThat(state.routing?.number).isEqualTo(41)
            expectThat(section.listingSince(0).items.map { it.value?.decodeToString() }).containsExactly("config:41")
            state.apply(
                section.advance(section.asOf, listOf(later("t/c", 160, "config:45")), section.asOf + 10).orEmpty(),
            )
            expectThat(state.routing?.number).isEqualTo(45)
        }

        @Test
        fun `Given a lost failure domain, when it stays away, then it stays out until all is read once more`() {
            read(item("t/o", 200, "out:a"))
            restored()
            expectThat(state.takenOut).containsExactly(FailureDomainId("a"))
            restored(asOf = 170, keepsLost = false)
            expectThat(state.takenOut).isEmpty()
        }

        @Test
        fun `Given a target that the copy lacks, when it does not report again, then it goes after two seconds`() {
            read(item("t/a", 200, "target:s:ready:5"))
            restored()
            clock.advance(1_900.milliseconds)
            state.tick()
            expectThat(state.targets.map { it.entry.id.value }).containsExactly("t/a")
            clock.advance(200.milliseconds)
            state.tick()
            expectThat(state.targets).isEmpty()
        }

        @Test
        fun `Given a removed target, when the copy offers it, then only a further report brings it back`() {
            read(item("t/a", 200, "target:s:ready:5"))
            state.apply(listOf(item("t/a", 205, null)))
            section.merge(listOf(item("t/a", 210, null)))
            restored(later("t/a", 140, "target:s:ready:7"))
            expectThat(state.targets).isEmpty()
            state.apply(listOf(later("t/a", 155, "target:s:ready:8")))
            expectThat(state.targets.map { it.entry.id.value }).containsExactly("t/a")
        }

        @Test
        fun `Given a leaving target, when the copy says it is ready, then it stays leaving until it reports again`() {
            read(item("t/a", 200, "target:s:leaving:5"))
            restored(later("t/a", 140, "target:s:ready:4"))
            expectThat(state.targets.single().entry.leaving).isEqualTo(true)
            state.apply(listOf(later("t/a", 155, "target:s:ready:6")))
            expectThat(state.targets.single().entry.leaving).isEqualTo(false)
        }
    }

    private companion object {
        val LIMITS = CallerLimits(1, 1, 1.seconds, 1.seconds)
    }
}
