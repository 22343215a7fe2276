package kingcuptide.coordination.process

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo

internal class RolesTest {
    private val hosts = (0 until 60).map { hostEntry("host-$it", failureDomain = "d${it % 3}") }
    private val domain = FailureDomainId("d1")

    private fun top(list: List<HostEntry>, dead: Set<HostId> = emptySet()): Map<FailureDomainId, List<HostId>> =
        topByRendezvous("reader", list, { if (it in dead) Liveness.DEAD else Liveness.ALIVE }, 3)

    @Nested
    inner class `Given two daemons with the same list` {
        @Test
        fun `when one has it in another order, then both choose the same hosts`() {
            expectThat(top(hosts.reversed())).isEqualTo(top(hosts))
        }

        @Test
        fun `when a chosen host is dead, then the next one replaces it and the others stay`() {
            val chosen = top(hosts).getValue(domain)
            val after = top(hosts, setOf(chosen[1])).getValue(domain)

            expectThat(after.take(2)).isEqualTo(listOf(chosen[0], chosen[2]))
            expectThat(after).doesNotContain(chosen[1])
        }

        @Test
        fun `when hosts of another failure domain are dead, then the choice does not change`() {
            val deadElsewhere = top(hosts).getValue(FailureDomainId("d2")).toSet()

            expectThat(top(hosts, deadElsewhere).getValue(domain)).isEqualTo(top(hosts).getValue(domain))
        }
    }

    @Nested
    inner class `Given a ranking that caches its order` {
        @Test
        fun `when the list and the liveness change, then it chooses the same hosts as the pure function`() {
            val membership = membership(
                MembershipSettings(),
                hosts.first(),
                Incarnation(1),
                SettableClock(),
                kotlin.random.Random(1),
            )
            val ranking = RoleRanking("reader")
            for (revision in 1L..3L) {
                membership.updateHostList(HostList(revision, hosts.drop(revision.toInt())))
                val eligible = setOf(Liveness.ALIVE, Liveness.UNKNOWN)
                val list = membership.hostList.hosts
                expectThat(ranking.top(membership, 3, eligible))
                    .isEqualTo(topByRendezvous("reader", list, membership::liveness, 3, eligible))
                expectThat(ranking.topOf(domain, membership, 3, eligible))
                    .isEqualTo(ranking.top(membership, 3, eligible).getValue(domain))
            }
        }
    }
}
