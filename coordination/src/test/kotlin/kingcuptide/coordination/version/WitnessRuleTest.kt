package kingcuptide.coordination.version

import kingcuptide.coordination.process.HostId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

internal class WitnessRuleTest {
    private val version = document(2).version

    @Test
    fun `Given any number of witnesses, when required witnesses and join quorum are compared, then they overlap`() {
        for (witnesses in 1..20) {
            val required = requiredWitnessCount(witnesses, TEST_SETTINGS)
            expectThat(
                required + joinQuorumSize(witnesses, TEST_SETTINGS),
            ).describedAs("$witnesses").isGreaterThan(witnesses)
        }
        expectThat(requiredWitnessCount(0, TEST_SETTINGS) to joinQuorumSize(0, TEST_SETTINGS)).isEqualTo(0 to 0)
    }

    @Nested
    inner class `Given three failure domains of three hosts` {
        private val fleet = ListedFleet(domains = 3, hostsPerDomain = 3)
        private val roles = DistributionRoles(fleet, TEST_SETTINGS)
        private val tracker = WitnessTracker(fleet, roles, TEST_SETTINGS)
        private val witnesses = roles.witnesses().map { it.host }

        @Test
        fun `when witnesses are selected, then they are two of each failure domain and never the daemon itself`() {
            for (name in fleet.hostList.hosts.map { it.host.value }) {
                val own = DistributionRoles(ListedFleet(3, 3, selfName = name), TEST_SETTINGS)
                expectThat(own.witnesses().map { it.host.value }.contains(name)).isFalse()
                val others = own.witnesses().groupBy { it.failureDomain }.filterKeys {
                    it !=
                        fleet.entry(HostId(name))?.failureDomain
                }
                expectThat(others.values).hasSize(2).all { hasSize(2) }
            }
        }

        @Test
        fun `when two have a version, then that is too few, and with a third it is enough`() {
            witnesses.take(2).forEach { tracker.record(it, version) }
            expectThat(tracker.verdict(version)).isEqualTo(WitnessVerdict.NOT_YET)
            tracker.record(witnesses[2], version)
            expectThat(tracker.verdict(version)).isEqualTo(WitnessVerdict.ENOUGH)
        }

        @Test
        fun `when one has a different content with the same number, then it does not count`() {
            witnesses.take(2).forEach { tracker.record(it, version) }
            tracker.record(witnesses[2], document(2, "route" to "other").version)
            expectThat(tracker.verdict(version)).isEqualTo(WitnessVerdict.NOT_YET)
        }

        @Test
        fun `when hosts that are not witnesses have a version, then they do not count`() {
            val others = fleet.hostList.hosts.map { it.host } - witnesses.toSet()
            others.forEach { tracker.record(it, version) }
            expectThat(tracker.holders(version)).hasSize(0)
        }

        @Test
        fun `when all but one are dead, then that one is all reachable witnesses`() {
            fleet.dead += witnesses.drop(1)
            tracker.record(witnesses[0], version)
            expectThat(tracker.verdict(version)).isEqualTo(WitnessVerdict.ALL_REACHABLE)
        }
    }

    @Nested
    inner class `Given a restarted daemon with four of six witnesses needed` {
        private val clock = SteppedClock()
        private val fleet = ListedFleet(domains = 3, hostsPerDomain = 4, selfName = nonWitness())
        private val roles = DistributionRoles(fleet, TEST_SETTINGS)
        private val join = JoinQuorum(clock, roles, TEST_SETTINGS, VersionCounters())
        private val witnesses = roles.witnesses().map { it.host }

        private fun nonWitness(): String {
            val names = ListedFleet(3, 4).hostList.hosts.map { it.host.value }
            return names.first { !DistributionRoles(ListedFleet(3, 4, selfName = it), TEST_SETTINGS).isWitness() }
        }

        @Test
        fun `when three reply, then it waits, and with the fourth it joins`() {
            witnesses.take(3).forEach { join.recordReply(it) }
            expectThat(join.advance(newestNumber = 5, isHostListNewest = true)).isFalse()
            join.recordReply(witnesses[3])
            expectThat(join.advance(newestNumber = 5, isHostListNewest = true)).isTrue()
            expectThat(join.isUnwitnessed).isFalse()
        }

        @Test
        fun `when four reply and one knows version 6, then it waits until it has version 6`() {
            witnesses.take(4).forEach { join.recordReply(it) }
            join.recordSeen(6)
            expectThat(join.advance(newestNumber = 5, isHostListNewest = true)).isFalse()
            expectThat(join.advance(newestNumber = 6, isHostListNewest = true)).isTrue()
        }

        @Test
        fun `when too few reply, then it joins after the join wait and reports that`() {
            expectThat(join.advance(newestNumber = 5, isHostListNewest = true)).isFalse()
            clock.time += TEST_SETTINGS.joinWait
            expectThat(join.advance(newestNumber = 5, isHostListNewest = true)).isTrue()
            expectThat(join.isUnwitnessed).isTrue()
        }

        @Test
        fun `when it has no document, then it never joins`() {
            clock.time += TEST_SETTINGS.joinContentWait * 10
            expectThat(join.advance(newestNumber = null, isHostListNewest = true)).isFalse()
        }

        @Test
        fun `when it was paused before any witness could reply, then the join wait restarts`() {
            join.advance(newestNumber = 5, isHostListNewest = true)
            clock.time += TEST_SETTINGS.joinWait * 2
            join.restart()
            expectThat(join.advance(newestNumber = 5, isHostListNewest = true)).isFalse()
        }
    }
}
