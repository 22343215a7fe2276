package kingcuptide.bench.membership

import kingcuptide.coordination.connection.StatusReply
import kingcuptide.coordination.connection.StatusRequest
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.version.ConvergenceSummary
import kingcuptide.coordination.version.HostBehind
import kingcuptide.coordination.version.LocalVersion
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConvergenceCollectorTest {
    private val fleet = StatusFleet(FleetShape(hosts = HOSTS), SEED)
    private val queried = fleet.nodes.first()

    private fun query(): ConvergenceSummary = fleet.queryAndRun(queried, 3.seconds).single()

    @Nested
    inner class `Given a fleet without faults` {
        @Test
        fun `when one daemon is behind, then it is listed with the time that it has been behind`() {
            fleet.nodes.forEach { it.version = LocalVersion(7) }
            fleet.nodes[33].version = LocalVersion(6, behindForMs = 1_200)

            val summary = query()

            expectThat(summary.newestVersion).isEqualTo(7)
            expectThat(summary.inForce).isEqualTo(HOSTS - 1)
            expectThat(summary.hosts).isEqualTo(HOSTS)
            expectThat(summary.behind).isEqualTo(listOf(HostBehind(fleet.nodes[33].self.host, 6, 1_200)))
            expectThat(summary.unreachableTotal).isEqualTo(0)
        }

        @Test
        fun `when many daemons are behind, then the list is bounded and the count is not`() {
            fleet.nodes.forEach { it.version = LocalVersion(7) }
            fleet.nodes.drop(100).forEach { it.version = LocalVersion(6) }

            val summary = query()

            expectThat(summary.behindTotal).isEqualTo(HOSTS - 100)
            expectThat(summary.behind.size).isLessThanOrEqualTo(32)
        }

        @Test
        fun `when callers query at once and again soon after, then the fleet is queried once`() {
            val summaries = mutableListOf<ConvergenceSummary>()
            repeat(3) { fleet.query(queried) { summaries += it } }
            fleet.time.run(300.milliseconds)
            fleet.query(queried) { summaries += it }

            expectThat(summaries).hasSize(4)
            expectThat(queried.collector.counters.queries).isEqualTo(1)
        }

        @Test
        fun `when daemons have different host lists, then each host of the querying daemon's list is counted once`() {
            val full = queried.hostList
            fleet.nodes.drop(1).forEach { it.hostList = HostList(0, full.hosts.drop(20)) }

            val summary = query()

            expectThat(summary.hosts).isEqualTo(HOSTS)
            expectThat(summary.inForce).isEqualTo(HOSTS)
        }
    }

    @Nested
    inner class `Given daemons that fail` {
        @Test
        fun `when a failure domain stops undetected, then its hosts are unreachable and the others counted in time`() {
            val gone = fleet.nodes.filter { it.self.failureDomain == fleet.nodes[1].self.failureDomain }
            gone.forEach { it.running = false }

            val summary = query()

            expectThat(summary.unreachableTotal).isEqualTo(gone.size)
            expectThat(summary.inForce).isEqualTo(HOSTS - gone.size)
            expectThat(summary.tookMs).isLessThanOrEqualTo(LIMIT_MS)
        }

        @Test
        fun `when leaders freeze after they accepted, then their groups are taken over`() {
            val frozen = mutableSetOf<StatusNode>()
            fleet.beforeDelivery = { node, message ->
                if (message is StatusReply && node !== queried && frozen.size < 2) {
                    node.running = false
                    frozen += node
                }
            }

            val summary = query()

            expectThat(frozen).hasSize(2)
            expectThat(summary.inForce).isEqualTo(HOSTS - 2)
            expectThat(summary.unreachable.toSet()).isEqualTo(frozen.mapTo(HashSet()) { it.self.host })
            expectThat(summary.tookMs).isLessThanOrEqualTo(LIMIT_MS)
        }

        @Test
        fun `when hosts are known to be dead, then they are queried nevertheless`() {
            fleet.nodes.forEach { node -> node.knownLiveness[fleet.nodes[9].self.host] = Liveness.DEAD }

            expectThat(query().inForce).isEqualTo(HOSTS)
        }
    }

    @Nested
    inner class `Given a network that fails` {
        @Test
        fun `when the regions are cut, then the summary is in time and the other region's hosts are unreachable`() {
            fleet.network.cut = { from, to -> from.region != to.region }
            val near = fleet.nodes.count { it.self.region == queried.self.region }

            val summary = query()

            expectThat(summary.inForce).isEqualTo(near)
            expectThat(summary.unreachableTotal).isEqualTo(HOSTS - near)
            expectThat(summary.tookMs).isLessThanOrEqualTo(LIMIT_MS)
        }

        @Test
        fun `when a reply counts more hosts than requested, then it is rejected`() {
            var forged = 0
            fleet.beforeDelivery = { node, message ->
                if (message is StatusReply && node === queried && forged == 0) {
                    forged++
                    val row = message.rows.first()
                    val inflated = message.copy(rows = message.rows.drop(1) + row.copy(count = row.count + 5))
                    fleet.nodes.forEach { fleet.inject(it.self.host, queried, inflated) }
                }
            }

            expectThat(query().hosts).isEqualTo(HOSTS)
            expectThat(queried.collector.counters.malformedReplies).isGreaterThan(0)
        }

        @Test
        fun `when messages are disturbed and daemons stop, then no host is counted twice or invented`() {
            for (seed in 1L..25L) checkSums(seed)
        }
    }

    private fun checkSums(seed: Long) {
        val random = Random(seed)
        val fleet = StatusFleet(FleetShape(hosts = 150), seed)
        fleet.network.lossShare = 0.1 * random.nextDouble()
        fleet.network.duplicateShare = 0.5
        fleet.network.maxExtraDelay = 120.milliseconds
        fleet.nodes.forEach { it.version = LocalVersion(random.nextLong(1, 4)) }
        var stopped = 0
        fleet.beforeDelivery = { node, message ->
            val stops = node !== fleet.nodes.first() && message is StatusRequest && random.nextInt(40) == 0
            if (stops && stopped++ < 10) node.running = false
        }

        val summary = fleet.queryAndRun(fleet.nodes.first(), 4.seconds).single()

        val label = "seed $seed"
        val named = summary.unreachable + summary.behind.map { it.host }
        expectThat(summary.hosts).describedAs("$label hosts").isEqualTo(150)
        expectThat(named.distinct().size).describedAs("$label names").isEqualTo(named.size)
        expectThat(summary.tookMs).describedAs("$label time").isLessThanOrEqualTo(LIMIT_MS)
        for (version in 1L..3L) {
            val counted = summary.rows.filter { it.version == version }.sumOf { it.count }
            val expected = fleet.nodes.count { it.version.number == version }
            expectThat(counted).describedAs("$label version $version").isLessThanOrEqualTo(expected)
        }
    }

    private companion object {
        const val HOSTS = 300
        const val SEED = 11L

        /** The query limit of two seconds and the wait for the next tick. */
        const val LIMIT_MS = 2_100L
    }
}
