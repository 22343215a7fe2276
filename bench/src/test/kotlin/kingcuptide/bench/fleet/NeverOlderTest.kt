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

/** No host serves an older version than one that it has served, also over restarts with a stale source. */
class NeverOlderTest {
    @Nested
    inner class `Given version 4 in force everywhere and a source that shows version 3` {
        @Test
        fun `when each host in turn restarts, then each joins by its witnesses with version 4`() {
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
                expectThat(fleet.servedOlder()).isEqualTo(0)
                expectThat(fleet.hosts.count { it.coordinator.isJoinUnwitnessed }).describedAs("$shape").isEqualTo(0)
            }
        }

        @Test
        fun `when all but one host that is no witness restart, then all get version 4 from it`() {
            for (seed in SEEDS) {
                val fleet = converged(FleetShape(listOf(4, 3), 6), seed)
                val survivor = fleet.hosts.last { !it.coordinator.isWitness }
                restartAllBut(fleet, setOf(survivor))
                expectThat(
                    fleet.hosts.count {
                        it.daemon?.number == 4L
                    },
                ).describedAs("seed $seed").isEqualTo(fleet.hosts.size)
                expectThat(fleet.servedOlder()).isEqualTo(0)
            }
        }

        @Test
        fun `when every host restarts at once, then they wait the join time, go back, and count it`() {
            val fleet = converged(LARGE_SHAPE, seed = 1)
            fleet.hosts.forEach { fleet.kill(it) }
            fleet.start()
            fleet.run(2_990.milliseconds)
            expectThat(fleet.hosts.none { it.daemon!!.canAcceptWork }).describedAs("nobody serves before").isTrue()
            fleet.run(7.seconds)
            expectThat(fleet.servedOlder()).describedAs("nothing is left that knows version 4").isGreaterThan(0)
            expectThat(fleet.hosts.all { it.counted(VersionEvent.JOINED_UNWITNESSED) == 1L }).isTrue()
            fleet.platform.mode = PlatformMode.UP
            fleet.run(4.seconds)
            expectThat(fleet.hosts.count { it.daemon?.number == 4L }).isEqualTo(fleet.hosts.size)
        }

        @Test
        fun `when the regions are cut off and hosts of the far one restart, then their region gives them version 4`() {
            val fleet = converged(LARGE_SHAPE, seed = 1)
            fleet.links.cut { from, to -> from.region != to.region }
            fleet.run(10.seconds)
            val far = fleet.hosts.filter { it.entry.region != PLATFORM_REGION }
            val restarted = far.filter { it.entry.failureDomain == far.first().entry.failureDomain }
            restarted.forEach { restart(fleet, it) }
            fleet.run(15.seconds)
            expectThat(far.count { it.daemon?.number == 4L && it.daemon?.canAcceptWork == true }).isEqualTo(far.size)
            expectThat(restarted.count { it.coordinator.isJoinUnwitnessed }).isEqualTo(0)
        }

        private fun converged(shape: FleetShape, seed: Int): InMemoryFleet {
            val (fleet, documents) = settled(shape, seed, SETTINGS)
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
    inner class `Given version 4 in force on the one host that the source told` {
        @Test
        fun `when its failure domain is lost at once, then it serves version 4 after its restart`() {
            for (shape in WITNESSED_SHAPES) {
                for (seed in SEEDS) expectNeverOlder(shape, seed, SETTINGS) { fleet, first -> fleet.domainOf(first) }
            }
        }

        @Test
        fun `when it and any other failure domain are lost at once, then it serves version 4 after its restart`() {
            for (shape in WITNESSED_SHAPES) {
                for (domain in shape.hosts().map { it.failureDomain }.distinct()) {
                    expectNeverOlder(shape, seed = 1, SETTINGS) { fleet, first ->
                        fleet.hosts.filter { it.entry.failureDomain == domain || it == first }
                    }
                }
            }
        }

        @Test
        fun `when it and two witnesses that hold it are lost at once, then it serves version 4 after its restart`() {
            for (shape in WITNESSED_SHAPES) {
                for (seed in SEEDS) {
                    expectNeverOlder(shape, seed, SETTINGS) { fleet, first ->
                        val holding = fleet.hosts.filter { it != first && it.coordinator.isWitness && it.holds(4) }
                        holding.take(2) + first
                    }
                }
            }
        }

        @Test
        fun `when no witnesses are required and its failure domain is lost, then an older version shows`() {
            val unwitnessed = SETTINGS.copy(requiredWitnesses = 0)
            val found = SEEDS.sumOf { seed ->
                lose(LARGE_SHAPE, seed, unwitnessed, 1.seconds) { fleet, first -> fleet.domainOf(first) }.servedOlder()
            }
            expectThat(found).isGreaterThan(0)
        }

        private fun expectNeverOlder(
            shape: FleetShape,
            seed: Int,
            settings: VersionSettings,
            lost: (InMemoryFleet, FleetHost) -> List<FleetHost>,
        ) {
            for (downTime in DOWN_TIMES) {
                println("shape=$shape seed=$seed down_time=$downTime")
                val fleet = lose(shape, seed, settings, downTime, lost)
                expectThat(fleet.servedOlder()).describedAs("$shape seed $seed down $downTime").isEqualTo(0)
                expectThat(fleet.hosts.count { it.daemon?.canAcceptWork == true }).isEqualTo(fleet.hosts.size)
            }
        }

        /** Lets one reader alone hear of version 4, and loses hosts at the moment at which it is in force there. */
        private fun lose(
            shape: FleetShape,
            seed: Int,
            settings: VersionSettings,
            downTime: Duration,
            lost: (InMemoryFleet, FleetHost) -> List<FleetHost>,
        ): InMemoryFleet {
            val (fleet, documents) = settled(shape, seed, settings)
            val told = fleet.hosts.first { it.coordinator.isReader(ResourceKind.DOCUMENT) }
            fleet.links.cut { from, to -> from == InMemoryFleet.PLATFORM && to != told.entry }
            fleet.losesMessage = { from, message -> from == told && (message as? VersionOffer)?.acknowledge == false }
            var isLost = false
            fleet.onInForce = { host, number ->
                if (number == 4L && !isLost) {
                    isLost = true
                    expectThat(host).isEqualTo(told)
                    val victims = lost(fleet, host)
                    victims.forEach { fleet.kill(it) }
                    fleet.platform.mode = PlatformMode.GOING_BACK
                    fleet.events.after(downTime) {
                        fleet.links.mendAll()
                        fleet.losesMessage = { _, _ -> false }
                        fleet.start(victims)
                    }
                }
            }
            fleet.platform.publish(documents.next())
            fleet.run(2.seconds)
            expectThat(isLost).describedAs("version 4 went in force").isTrue()
            fleet.run(20.seconds)
            return fleet
        }
    }

    @Nested
    inner class `Given a daemon that was frozen while version 4 came` {
        @Test
        fun `when it wakes, then it takes no work until it has caught up`() {
            val (fleet, documents) = settled(LARGE_SHAPE, 1, SETTINGS)
            val host = fleet.hosts.last()
            fleet.freeze(host)
            fleet.run(1_500.milliseconds)
            fleet.platform.publish(documents.next())
            fleet.run(4.seconds)
            expectThat(host.daemon?.canAcceptWork).describedAs("at the moment of waking").isEqualTo(false)
            host.backlog.clear()
            fleet.wake(host)
            val taken = fleet.runUntil(1.seconds) { host.daemon?.canAcceptWork == true }
            expectThat(host.daemon?.number).isEqualTo(4)
            expectThat(taken != null).isTrue()
        }

        @Test
        fun `when it wakes cut off from all, then it takes work after the bound`() {
            val (fleet, _) = settled(LARGE_SHAPE, 1, SETTINGS)
            val host = fleet.hosts.last()
            fleet.links.cut { from, to -> from == host.entry || to == host.entry }
            fleet.freeze(host)
            fleet.run(3.seconds)
            fleet.wake(host)
            fleet.run(900.milliseconds)
            expectThat(host.daemon!!.canAcceptWork).isFalse()
            fleet.run(400.milliseconds)
            expectThat(host.daemon!!.canAcceptWork).isTrue()
            expectThat(host.counted(VersionEvent.AWOKE_UNCONFIRMED)).isEqualTo(1)
        }
    }

    private fun settled(shape: FleetShape, seed: Int, settings: VersionSettings): Pair<InMemoryFleet, DocumentSeries> {
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
        ).describedAs("settled $shape").isEqualTo(fleet.hosts.size)
        return fleet to documents
    }

    private val FleetHost.coordinator get() = (daemon as VersionDaemon).coordinator

    private fun FleetHost.counted(event: VersionEvent): Long = coordinator.counters[event]

    private fun FleetHost.holds(number: Long): Boolean = coordinator.newestNumber(ResourceKind.DOCUMENT) == number

    private fun InMemoryFleet.servedOlder(): Int = hosts.sumOf { it.servedOlder }

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
