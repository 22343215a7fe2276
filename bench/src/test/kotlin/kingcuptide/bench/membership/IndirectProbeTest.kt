package kingcuptide.bench.membership

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.time.Duration.Companion.seconds

class IndirectProbeTest {
    @Nested
    inner class `Given two hosts whose link is cut, and others that reach both` {
        @Test
        fun `when they probe each other for a while, then neither is ever suspected`() {
            val fleet = MembershipFleet(FleetShape(hosts = 12, regions = 1, failureDomains = 3), seed = 4)
            fleet.run(5.seconds)
            val pair = setOf(fleet.node(2).host, fleet.node(7).host)
            fleet.network.cut = { from, to -> setOf(from.host, to.host) == pair }
            fleet.run(60.seconds)

            val counters = fleet.nodes.map { it.membership.counters }
            expectThat(counters.sumOf { it.suspicions }).isEqualTo(0)
            expectThat(counters.sumOf { it.indirectProbesSent }).isGreaterThan(0)
        }
    }
}
