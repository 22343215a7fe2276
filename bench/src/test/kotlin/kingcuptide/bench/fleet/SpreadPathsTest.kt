package kingcuptide.bench.fleet

import kingcuptide.coordination.connection.VersionPayload
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.VersionSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** The two paths by which a version reaches all hosts, relay and anti-entropy, and the traffic between regions. */
class SpreadPathsTest {
    private fun startedFleet(settings: VersionSettings, seed: Int): Pair<InMemoryFleet, DocumentSeries> {
        val fleet = InMemoryFleet(SHAPE, seed, VersionDaemon.factory(settings))
        val documents = DocumentSeries(Random(seed), DOCUMENT_BYTES)
        fleet.platform.publish(hostListContent(1, SHAPE.hosts()))
        fleet.platform.publish(documents.next())
        fleet.start()
        fleet.run(15.seconds)
        return fleet to documents
    }

    private fun InMemoryFleet.behind(number: Long): List<String> =
        hosts.filterNot { it.daemon?.number == number }.map { it.entry.host.value }

    @Test
    fun `Given no anti-entropy and no fallback, when a version is published, then the relay reaches all hosts`() {
        for (seed in SEEDS) {
            val (fleet, documents) = startedFleet(
                SETTINGS.copy(antiEntropyInterval = 1.hours, fallbackAfter = 1.hours),
                seed,
            )
            fleet.platform.publish(documents.next())
            fleet.run(4.seconds)
            expectThat(fleet.behind(2)).describedAs("seed $seed").isEmpty()
        }
    }

    @Test
    fun `Given hosts that missed all messages of a change, when they are reconnected, then they get it within 4 s`() {
        for (seed in SEEDS) {
            val (fleet, documents) = startedFleet(SETTINGS, seed)
            val isolated = fleet.hosts.filter { it.entry.host.value.endsWith("h5") }.toSet()
            val cut = fleet.links.cut { _, to -> isolated.any { it.entry == to } }
            fleet.platform.publish(documents.next())
            fleet.run(1.seconds)
            expectThat(fleet.behind(2)).contains(isolated.map { it.entry.host.value })
            fleet.links.restore(cut)
            fleet.run(4.seconds)
            expectThat(fleet.behind(2)).describedAs("seed $seed").isEmpty()
        }
    }

    @Test
    fun `Given two regions, when a version is published, then its content crosses between them no more than twice`() {
        for (seed in SEEDS) {
            val (fleet, documents) = startedFleet(SETTINGS, seed)
            var crossings = 0
            fleet.onDelivered = { from, to, message ->
                val isContent = (message as? VersionPayload)?.offered?.kind == ResourceKind.DOCUMENT
                if (isContent && from.entry.region != to.entry.region) crossings++
            }
            fleet.platform.publish(documents.next())
            fleet.run(10.seconds)
            expectThat(fleet.behind(2)).isEmpty()
            expectThat(crossings).describedAs("seed $seed").isGreaterThan(0).isLessThanOrEqualTo(2)
        }
    }

    @Test
    fun `Given default settings, when 20 versions follow each other, then no host reads over half of them in full`() {
        val (fleet, documents) = startedFleet(SETTINGS, seed = 1)
        val before = fleet.hosts.associateWith { it.sourceBytes }
        repeat(CHANGE_COUNT) {
            fleet.platform.publish(documents.next())
            fleet.run(2.seconds)
        }
        val fullReads = fleet.hosts.maxOf { (it.sourceBytes - before.getValue(it)) / DOCUMENT_BYTES }
        expectThat(fullReads).isLessThanOrEqualTo(CHANGE_COUNT / 2L)
    }

    private companion object {
        val SETTINGS = VersionSettings(PLATFORM_REGION)
        val SHAPE = FleetShape(listOf(4, 3), 20)
        val SEEDS = listOf(1, 2, 3)
        const val DOCUMENT_BYTES = 20_000
        const val CHANGE_COUNT = 20
    }
}
