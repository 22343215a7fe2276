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
    private val picture = PublishedState(clock, ::decode)

    private fun item(key: String, revision: Long, value: String?) = SourceItem(
        key,
        revision,
        value?.encodeToByteArray(),
    )

    /** Values are `config:N`, `out:DOMAIN`, `target:SERVICE:STATE:REPORTS` or anything else. */
    private fun decode(item: SourceItem): PublishedItem {
        val parts = checkNotNull(item.value).decodeToString().split(':')
        return when (parts[0]) {
            "config" -> PublishedItem.Configuration(RoutingVersion(parts[1].toLong(), emptyList(), emptyMap(), LIMITS))
            "out" -> PublishedItem.TakenOut(FailureDomainId(parts[1]))
            "target" -> PublishedItem.Target(entry(item.key, parts[1], parts[2] == "leaving", parts[3].toLong()))
            else -> PublishedItem.Unusable("unknown")
        }
    }

    private fun entry(id: String, service: String, leaving: Boolean, reports: Long) = TargetEntry(
        TargetId(id),
        ServiceId(service),
        "192.0.2.1",
        80,
        FailureDomainId("a"),
        "v1",
        12,
        leaving,
        Duration.ZERO,
        0,
        reports,
    )

    @Nested
    inner class `A copy of a section` {
        private val section = PublishedSection("t/")

        @Test
        fun `Given a copy, when an older whole one comes, then nothing changes`() {
            section.replace(listOf(item("t/a", 5, "x")), 9)
            expectThat(section.replace(listOf(item("t/a", 3, "old")), 8)).isEmpty()
            expectThat(section.asOf).isEqualTo(9)
        }

        @Test
        fun `Given a copy, when the source forgot its history, then a whole read removes what is gone`() {
            section.replace(listOf(item("t/a", 5, "x"), item("t/b", 6, "y")), 9)
            val changed = section.replace(listOf(item("t/b", 6, "y"), item("t/c", 20, "z")), 30)
            expectThat(changed.map { it.key to (it.value == null) })
                .containsExactlyInAnyOrder("t/c" to false, "t/a" to true)
        }

        @Test
        fun `Given changes that begin after the copy ends, when they come, then the gap is told`() {
            section.replace(emptyList(), 9)
            expectThat(section.advance(12, listOf(item("t/a", 13, "x")), 13)).isNull()
            expectThat(section.asOf).isEqualTo(9)
        }

        @Test
        fun `Given changes that a peer told already, when the source tells them again, then they are no news`() {
            section.replace(emptyList(), 9)
            section.merge(listOf(item("t/a", 11, "x")))
            expectThat(
                section.advance(9, listOf(item("t/a", 10, "old"), item("t/a", 11, "x")), 11),
            ).isEqualTo(emptyList())
        }

        @Test
        fun `Given a removal, when the removed item comes late from a peer, then it stays removed`() {
            section.replace(listOf(item("t/a", 5, "x")), 9)
            section.advance(9, listOf(item("t/a", 12, null)), 12)
            expectThat(section.merge(listOf(item("t/a", 7, "late")))).isEmpty()
            expectThat(section.present()).isEmpty()
        }
    }

    @Nested
    inner class `What is believed` {
        @Test
        fun `Given a version in force, when an older one comes under a newer revision, then it is not taken`() {
            picture.apply(listOf(item("config", 5, "config:7")))
            picture.apply(listOf(item("config", 6, "config:4")))
            expectThat(picture.routing?.number).isEqualTo(7)
        }

        @Test
        fun `Given a target, when it only reports again, then that is no news to pass on`() {
            picture.apply(listOf(item("t", 5, "target:s:ready:1")))
            val before = picture.digest()
            expectThat(picture.apply(listOf(item("t", 6, "target:s:ready:2")))).isEmpty()
            expectThat(picture.digest()).isEqualTo(before)
            expectThat(picture.apply(listOf(item("t", 7, "target:s:leaving:3"))).map { it.key }).containsExactly("t")
            expectThat(picture.digest()).isNotEqualTo(before)
        }

        @Test
        fun `Given a target, when another writer spoils its entry, then that target alone is gone`() {
            picture.apply(listOf(item("t", 5, "target:s:ready:1"), item("u", 6, "target:s:ready:1")))
            picture.apply(listOf(item("t", 7, "{broken")))
            expectThat(picture.targetsOf(ServiceId("s")).map { it.entry.id.value }).containsExactly("u")
        }

        @Test
        fun `Given a source that was away, when entries are gone on its return, then they stay for a grace`() {
            picture.confirmed(Duration.ZERO)
            picture.apply(listOf(item("t", 5, "target:s:ready:1")))
            clock.advance(5.seconds)
            picture.confirmed(Duration.ZERO)
            picture.apply(listOf(item("t", 9, null)))
            clock.advance(1_900.milliseconds)
            picture.tick()
            expectThat(picture.targetsOf(ServiceId("s")).size).isEqualTo(1)
            clock.advance(200.milliseconds)
            picture.tick()
            expectThat(picture.targetsOf(ServiceId("s"))).isEmpty()
        }

        @Test
        fun `Given a target in its time of grace, when it reports again, then it stays`() {
            picture.confirmed(Duration.ZERO)
            picture.apply(listOf(item("t", 5, "target:s:ready:1")))
            clock.advance(5.seconds)
            picture.confirmed(Duration.ZERO)
            picture.apply(listOf(item("t", 9, null)))
            picture.apply(listOf(item("t", 10, "target:s:ready:1")))
            clock.advance(5.seconds)
            picture.tick()
            expectThat(picture.targetsOf(ServiceId("s")).size).isEqualTo(1)
        }

        /** Pattern: a daemon far from the readers, which hears of them seldom while the source is well. */
        @Test
        fun `Given a daemon that waited long for readers, when an entry is removed, then it is gone at once`() {
            picture.confirmed(Duration.ZERO)
            picture.apply(listOf(item("t", 5, "target:s:ready:1")))
            clock.advance(ReaderRole.LONGEST_PATIENCE)
            picture.confirmed(Duration.ZERO)
            picture.apply(listOf(item("t", 9, null)))
            expectThat(picture.targetsOf(ServiceId("s"))).isEmpty()
        }

        @Test
        fun `Given a source in contact, when an entry is removed, then it is gone at once`() {
            picture.confirmed(Duration.ZERO)
            picture.apply(listOf(item("t", 5, "target:s:ready:1")))
            clock.advance(600.milliseconds)
            picture.confirmed(Duration.ZERO)
            picture.apply(listOf(item("t", 9, null)))
            expectThat(picture.targetsOf(ServiceId("s"))).isEmpty()
        }

        @Test
        fun `Given a failure domain taken out, when it is taken back, then both are believed`() {
            picture.apply(listOf(item("o", 5, "out:a")))
            expectThat(picture.takenOut).containsExactly(FailureDomainId("a"))
            picture.apply(listOf(item("o", 6, null)))
            expectThat(picture.takenOut).isEmpty()
        }
    }

    private companion object {
        val LIMITS = CallerLimits(1, 1, 1.seconds, 1.seconds)
    }
}
