package kingcuptide.bench.fleet

import kingcuptide.coordination.connection.VersionOffer
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.VersionEvent
import kingcuptide.coordination.version.VersionSettings
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A host never serves an older version than it has served before, even after a restart with a stale source. */
class NeverOlderTest {
    @Nested
    inner class `Given version 4 in force on all hosts and a source that returns version 3` {
        @Test
        fun `when the hosts restart one after another, then each joins with version 4 from its witnesses`() {
            for (shape in ALL_SHAPES) {
                val fleet = converged(shape, seed = 1)
                for (host in fleet.hosts) {
                    fleet.kill(host)
                    fleet.run(500.milliseconds)
                    fleet.start(host)
                    fleet.run(6.seconds)
                    expectThat(host.daemon?.number).describedAs("${host.entry.host} of $shape").isEqualTo(4)
                    expectThat(host.daemon?.canAcceptWork).isEqualTo(true)
                }
                expectThat(fleet.olderServedCount()).isEqualTo(0)
                expectThat(fleet.hosts.count { it.coordinator.isJoinUnwitnessed }).describedAs("$shape").isEqualTo(0)
            }
        }

        @Test
        fun `when all hosts but one that is not a witness restart, then all receive version 4 from it`() {
            for (seed in SEEDS) {
                val fleet = converged(FleetShape(listOf(4, 3), 6), seed)
                val survivor = fleet.hosts.last { !it.coordinator.isWitness }
                restartAllBut(fleet, setOf(survivor))
                expectThat(
                    fleet.hosts.count {
                        it.daemon?.number == 4L
                    },
                ).describedAs("seed $seed").isEqualTo(fleet.hosts.size)
                expectThat(fleet.olderServedCount()).isEqualTo(0)
            }
        }

        @Test
        fun `when all hosts restart at once, then they serve version 3 after the join wait and count it`() {
            val fleet = converged(LARGE_SHAPE, seed = 1)
            fleet.hosts.forEach { fleet.kill(it) }
            fleet.start()
            fleet.run(2_990.milliseconds)
            expectThat(fleet.hosts.none { it.daemon!!.canAcceptWork })
                .describedAs("no host serves during the join wait")
                .isTrue()
            fleet.run(7.seconds)
            expectThat(fleet.olderServedCount()).describedAs("no running host stores version 4").isGreaterThan(0)
            expectThat(fleet.hosts.all { it.eventCount(VersionEvent.JOINED_UNWITNESSED) == 1L }).isTrue()
            fleet.platform.mode = PlatformMode.UP
            fleet.run(4.seconds)
            expectThat(fleet.hosts.count { it.daemon?.number == 4L }).isEqualTo(fleet.hosts.size)
        }

        @Test
        fun `when the regions are disconnected and remote hosts restart, then their region sends them version 4`() {
            val fleet = converged(LARGE_SHAPE, seed = 1)
            fleet.links.cut { from, to -> from.region != to.region }
            fleet.run(10.seconds)
            val remoteHosts = fleet.hosts.filter { it.entry.region != PLATFORM_REGION }
            val restarted = remoteHosts.filter { it.entry.failureDomain == remoteHosts.first().entry.failureDomain }
            restarted.forEach { restart(fleet, it) }
            fleet.run(15.seconds)
            expectThat(remoteHosts.count { it.daemon?.number == 4L && it.daemon?.canAcceptWork == true })
                .isEqualTo(remoteHosts.size)
            expectThat(restarted.count { it.coordinator.isJoinUnwitnessed }).isEqualTo(0)
        }

        private fun converged(shape: FleetShape, seed: Int): InMemoryFleet {
            val (fleet, documents) = fleetAtVersion3(shape, seed, SETTINGS)
            fleet.platform.publish(documents.next())
            fleet.run(4.seconds)
            fleet.platform.mode = PlatformMode.GOING_BACK
            return fleet
        }

        private fun restartAllBut(fleet: InMemoryFleet, survivors: Set<FleetHost>) {
            val restarted = fleet.hosts - survivors
            restarted.forEach { fleet.kill(it) }
            fleet.run(500.milliseconds)
            fleet.start(restarted)
            fleet.run(10.seconds)
        }

        private fun restart(fleet: InMemoryFleet, host: FleetHost) {
            fleet.kill(host)
            fleet.run(300.milliseconds)
            fleet.start(host)
        }
    }

    @Nested
    inner class `Given version 4 in force only on the host that read it from the source` {
        @Test
        fun `when its failure domain crashes at once, then it serves version 4 after its restart`() {
            for (shape in WITNESSED_SHAPES) {
                for (seed in SEEDS) expectNeverOlder(shape, seed, SETTINGS) { fleet, first -> fleet.domainOf(first) }
            }
        }

        @Test
        fun `when it and any other failure domain crash at once, then it serves version 4 after its restart`() {
            for (shape in WITNESSED_SHAPES) {
                for (domain in shape.hosts().map { it.failureDomain }.distinct()) {
                    expectNeverOlder(shape, seed = 1, SETTINGS) { fleet, first ->
                        fleet.hosts.filter { it.entry.failureDomain == domain || it == first }
                    }
                }
            }
        }

        @Test
        fun `when it and two witnesses that store it crash at once, then it serves version 4 after its restart`() {
            for (shape in WITNESSED_SHAPES) {
                for (seed in SEEDS) {
                    expectNeverOlder(shape, seed, SETTINGS) { fleet, first ->
                        val storing = fleet.hosts.filter { it != first && it.coordinator.isWitness && it.stores(4) }
                        storing.take(2) + first
                    }
                }
            }
        }

        @Test
        fun `when no witnesses are required and its failure domain crashes, then an older version is served`() {
            val unwitnessed = SETTINGS.copy(requiredWitnesses = 0)
            val olderCount = SEEDS.sumOf { seed ->
                crashOnceInForce(LARGE_SHAPE, seed, unwitnessed, 1.seconds) { fleet, first -> fleet.domainOf(first) }
                    .olderServedCount()
            }
            expectThat(olderCount).isGreaterThan(0)
        }

        private fun expectNeverOlder(
            shape: FleetShape,
            seed: Int,
            settings: VersionSettings,
            victimsOf: (InMemoryFleet, FleetHost) -> List<FleetHost>,
        ) {
            for (downTime in DOWN_TIMES) {
                println("shape=$shape seed=$seed down_time=$downTime")
                val fleet = crashOnceInForce(shape, seed, settings, downTime, victimsOf)
                expectThat(fleet.olderServedCount()).describedAs("$shape seed $seed down $downTime").isEqualTo(0)
                expectThat(fleet.hosts.count { it.daemon?.canAcceptWork == true }).isEqualTo(fleet.hosts.size)
            }
        }

        /** Publishes version 4 to one reader only, and kills the hosts of [victimsOf] once it is in force there. */
        private fun crashOnceInForce(
            shape: FleetShape,
            seed: Int,
            settings: VersionSettings,
            downTime: Duration,
            victimsOf: (InMemoryFleet, FleetHost) -> List<FleetHost>,
        ): InMemoryFleet {
            val (fleet, documents) = fleetAtVersion3(shape, seed, settings)
            val reader = fleet.hosts.first { it.coordinator.isReader(ResourceKind.DOCUMENT) }
            fleet.links.cut { from, to -> from == InMemoryFleet.PLATFORM && to != reader.entry }
            fleet.dropsMessage = { from, message -> from == reader && (message as? VersionOffer)?.acknowledge == false }
            var hasCrashed = false
            fleet.onInForce = { host, number ->
                if (number == 4L && !hasCrashed) {
                    hasCrashed = true
                    expectThat(host).isEqualTo(reader)
                    val victims = victimsOf(fleet, host)
                    victims.forEach { fleet.kill(it) }
                    fleet.platform.mode = PlatformMode.GOING_BACK
                    fleet.events.after(downTime) {
                        fleet.links.restoreAll()
                        fleet.dropsMessage = { _, _ -> false }
                        fleet.start(victims)
                    }
                }
            }
            fleet.platform.publish(documents.next())
            fleet.run(2.seconds)
            expectThat(hasCrashed).describedAs("version 4 came into force").isTrue()
            fleet.run(20.seconds)
            return fleet
        }
    }

    @Nested
    inner class `Given a daemon that was frozen while version 4 was distributed` {
        @Test
        fun `when it resumes, then it accepts no requests until it has version 4`() {
            val (fleet, documents) = fleetAtVersion3(LARGE_SHAPE, 1, SETTINGS)
            val host = fleet.hosts.last()
            fleet.freeze(host)
            fleet.run(1_500.milliseconds)
            fleet.platform.publish(documents.next())
            fleet.run(4.seconds)
            expectThat(host.daemon?.canAcceptWork).describedAs("before it resumes").isEqualTo(false)
            host.backlog.clear()
            fleet.resume(host)
            val catchUpTime = fleet.runUntil(1.seconds) { host.daemon?.canAcceptWork == true }
            expectThat(host.daemon?.number).isEqualTo(4)
            expectThat(catchUpTime != null).isTrue()
        }

        @Test
        fun `when it resumes without any connection, then it accepts requests after the time limit`() {
            val (fleet, _) = fleetAtVersion3(LARGE_SHAPE, 1, SETTINGS)
            val host = fleet.hosts.last()
            fleet.links.cut { from, to -> from == host.entry || to == host.entry }
            fleet.freeze(host)
            fleet.run(3.seconds)
            fleet.resume(host)
            fleet.run(900.milliseconds)
            expectThat(host.daemon!!.canAcceptWork).isFalse()
            fleet.run(400.milliseconds)
            expectThat(host.daemon!!.canAcceptWork).isTrue()
            expectThat(host.eventCount(VersionEvent.AWOKE_UNCONFIRMED)).isEqualTo(1)
        }
    }

    private fun fleetAtVersion3(
        shape: FleetShape,
        seed: Int,
        settings: VersionSettings,
    ): Pair<InMemoryFleet, DocumentSeries> {
        val fleet = InMemoryFleet(shape, seed, VersionDaemon.factory(settings))
        val documents = DocumentSeries(Random(seed), DOCUMENT_BYTES)
        fleet.platform.publish(hostListContent(1, shape.hosts()))
        fleet.platform.publish(documents.next())
        fleet.start()
        fleet.run(15.seconds)
        repeat(2) {
            fleet.platform.publish(documents.next())
            fleet.run(3.seconds)
        }
        expectThat(
            fleet.hosts.count {
                it.daemon?.number == 3L
            },
        ).describedAs("hosts at version 3 of $shape").isEqualTo(fleet.hosts.size)
        return fleet to documents
    }

    private val FleetHost.coordinator get() = (daemon as VersionDaemon).coordinator

    private fun FleetHost.eventCount(event: VersionEvent): Long = coordinator.counters[event]

    private fun FleetHost.stores(number: Long): Boolean = coordinator.newestNumber(ResourceKind.DOCUMENT) == number

    private fun InMemoryFleet.olderServedCount(): Int = hosts.sumOf { it.olderServedCount }

    private fun InMemoryFleet.domainOf(host: FleetHost): List<FleetHost> =
        hosts.filter { it.entry.failureDomain == host.entry.failureDomain }

    private companion object {
        val SETTINGS = VersionSettings(PLATFORM_REGION)
        val LARGE_SHAPE = FleetShape(listOf(4, 3), 3)
        val WITNESSED_SHAPES = listOf(LARGE_SHAPE, FleetShape(listOf(2, 2, 2), 3), FleetShape(listOf(3), 3))
        val ALL_SHAPES =
            WITNESSED_SHAPES + listOf(FleetShape(listOf(1), 3), FleetShape(listOf(2), 2), FleetShape(listOf(2), 1))
        val SEEDS = listOf(1, 2, 3)
        val DOWN_TIMES = listOf(5.milliseconds, 1.seconds)
        const val DOCUMENT_BYTES = 20_000
    }
}
