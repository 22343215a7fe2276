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

/** The two ways by which a version reaches all hosts, and what crosses the links between regions. */
class SpreadPathsTest {
    private fun settled(settings: VersionSettings, seed: Int): Pair<InMemoryFleet, DocumentSeries> {
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
    fun `Given daemons that exchange nothing at rest, when a version is published, then the relay alone reaches all`() {
        for (seed in SEEDS) {
            val (fleet, documents) = settled(
                SETTINGS.copy(antiEntropyInterval = 1.hours, fallbackAfter = 1.hours),
                seed,
            )
            fleet.platform.publish(documents.next())
            fleet.run(4.seconds)
            expectThat(fleet.behind(2)).describedAs("seed $seed").isEmpty()
        }
    }

    @Test
    fun `Given a host that missed every message of a change, when it is reached again, then it has it within 4 s`() {
        for (seed in SEEDS) {
            val (fleet, documents) = settled(SETTINGS, seed)
            val deaf = fleet.hosts.filter { it.entry.host.value.endsWith("h5") }.toSet()
            val cut = fleet.links.cut { _, to -> deaf.any { it.entry == to } }
            fleet.platform.publish(documents.next())
            fleet.run(1.seconds)
            expectThat(fleet.behind(2)).contains(deaf.map { it.entry.host.value })
            fleet.links.mend(cut)
            fleet.run(4.seconds)
            expectThat(fleet.behind(2)).describedAs("seed $seed").isEmpty()
        }
    }

    @Test
    fun `Given two regions, when a version is published, then its content crosses between them no more than twice`() {
        for (seed in SEEDS) {
            val (fleet, documents) = settled(SETTINGS, seed)
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
    fun `Given an ordinary day's readers, when versions follow each other, then no host reads many of them whole`() {
        val (fleet, documents) = settled(SETTINGS, seed = 1)
        val before = fleet.hosts.associateWith { it.sourceBytes }
        repeat(CHANGES) {
            fleet.platform.publish(documents.next())
            fleet.run(2.seconds)
        }
        val wholes = fleet.hosts.maxOf { (it.sourceBytes - before.getValue(it)) / DOCUMENT_BYTES }
        expectThat(wholes).isLessThanOrEqualTo(CHANGES / 2L)
    }

    private companion object {
        val SETTINGS = VersionSettings(PLATFORM_REGION)
        val SHAPE = FleetShape(listOf(4, 3), 20)
        val SEEDS = listOf(1, 2, 3)
        const val DOCUMENT_BYTES = 20_000
        const val CHANGES = 20
    }
}
