package kingcuptide.coordination.request

import kingcuptide.coordination.connection.GateLoad
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class TargetChooserTest {
    private val fixture = ChooserFixture()

    @Nested
    inner class `Candidates` {
        @Test
        fun `Given hosts that cannot serve a request, when explained, then each has the code of its reason`() {
            fixture.takenOut += FailureDomainId("d0")
            fixture.fleet.states[HostId("d1-h0")] = Liveness.LEAVING
            fixture.fleet.states[HostId("d2-h0")] = Liveness.DEAD
            expectThat(fixture.codeOf("d0-h0")).isEqualTo(ResultCode.FAILURE_DOMAIN_TAKEN_OUT)
            expectThat(fixture.codeOf("d1-h0")).isEqualTo(ResultCode.DRAINING)
            expectThat(fixture.codeOf("d2-h0")).isEqualTo(ResultCode.PEER_UNREACHABLE)
            expectThat(fixture.codeOf("d3-h0")).isNull()
        }

        @Test
        fun `Given home regions, when hosts are chosen many times, then none is in another region`() {
            val home = HomeRegions.Only(setOf(RegionId("r1")))
            repeat(500) { expectThat(fixture.choose(fixture.request(home = home)).region).isEqualTo(RegionId("r1")) }
        }

        @Test
        fun `Given no target in the home regions, when a host is chosen, then there is none`() {
            val choice = fixture.chooser.choose(fixture.request(home = HomeRegions.Only(setOf(RegionId("r9")))))
            expectThat(choice).isA<TargetChoice.None>().get { code }.isEqualTo(ResultCode.NO_TARGET)
        }

        @Test
        fun `Given all failure domains are taken out, when a host is chosen, then there is none`() {
            repeat(6) { fixture.takenOut += FailureDomainId("d$it") }
            val choice = fixture.chooser.choose(fixture.request())
            expectThat(choice).isA<TargetChoice.None>().get { code }.isEqualTo(ResultCode.FAILURE_DOMAIN_TAKEN_OUT)
        }

        @Test
        fun `Given a tried host, when another is chosen, then its failure domain is avoided`() {
            val threeHostsEach = ChooserFixture(targetsPerDomain = List(6) { 3 })
            repeat(200) {
                val chosen = threeHostsEach.choose(threeHostsEach.request(tried = setOf(HostId("d0-h0"))))
                expectThat(chosen.failureDomain).isNotEqualTo(FailureDomainId("d0"))
            }
        }
    }

    @Nested
    inner class `Locality` {
        @Test
        fun `Given equal capacity everywhere, when hosts are chosen, then all are in the own failure domain`() {
            expectThat(fixture.distribute(1_000)).isEqualTo(mapOf("d0" to 1_000))
        }

        @Test
        fun `Given growing capacity in the own failure domain, when chosen, then its share grows without a jump`() {
            val shares = (0..6).map { own -> ChooserFixture(listOf(own, 4, 4, 4, 4, 4)).distribute(4_000)["d0"] ?: 0 }
            shares.zipWithNext { less, more -> expectThat(more).isGreaterThan(less - 150) }
            shares.zipWithNext { less, more -> expectThat(more - less).isLessThan(1_400) }
            expectThat(shares.first()).isEqualTo(0)
        }

        @Test
        fun `Given no target in the own failure domain, when the region has capacity, then it is used`() {
            val counts = ChooserFixture(listOf(0, 4, 2, 2, 2, 2)).distribute(2_000)
            expectThat(counts["d1"] ?: 0).isGreaterThan(1_800)
        }

        @Test
        fun `Given a region without capacity, when hosts are chosen, then spare capacity elsewhere is used`() {
            val counts = ChooserFixture(listOf(0, 1, 4, 4, 0, 0)).distribute(2_000)
            expectThat((counts["d2"] ?: 0) + (counts["d3"] ?: 0)).isGreaterThan(1_000)
        }
    }

    @Nested
    inner class `Reported load and recent attempts` {
        private val threePerDomain = ChooserFixture(targetsPerDomain = List(6) { 3 })

        @Test
        fun `Given a host that reports no load, when it has outstanding attempts, then it gets few requests`() {
            repeat(20) { threePerDomain.chooser.begin(HostId("d0-h0")) }
            threePerDomain.chooser.finish(
                HostId("d0-h0"),
                AttemptOutcome.ANSWERED,
                GateLoad(inFlight = 0, limit = 1_000, queued = 0),
            )
            val chosen = List(1_000) { threePerDomain.choose().host }.count { it == HostId("d0-h0") }
            expectThat(chosen).isLessThan(50)
        }

        @Test
        fun `Given a host that always reports full load, when hosts are chosen, then it still gets some requests`() {
            repeat(1_000) {
                threePerDomain.chooser.begin(HostId("d0-h0"))
                threePerDomain.chooser.finish(HostId("d0-h0"), AttemptOutcome.ANSWERED, GateLoad(10, 10, 20))
            }
            threePerDomain.clock.advance(1.seconds)
            expectThat(List(1_000) { threePerDomain.choose().host }.count { it == HostId("d0-h0") }).isGreaterThan(20)
        }

        @Test
        fun `Given a restarted host, when its slow start ends, then it gets its full share of requests`() {
            threePerDomain.clock.advance(60.seconds)
            threePerDomain.distribute(10)
            threePerDomain.fleet.incarnations[HostId("d0-h0")] = Incarnation(2)
            val duringSlowStart = List(1_000) { threePerDomain.choose().host }.count { it == HostId("d0-h0") }
            threePerDomain.clock.advance(20.seconds)
            val afterSlowStart = List(1_000) { threePerDomain.choose().host }.count { it == HostId("d0-h0") }
            expectThat(duringSlowStart).isLessThan(60)
            expectThat(afterSlowStart).isGreaterThan(200)
        }

        @Test
        fun `Given a failure domain that was taken out, when it returns, then its host gets a slow start`() {
            fixture.clock.advance(60.seconds)
            fixture.takenOut += FailureDomainId("d0")
            fixture.distribute(10)
            fixture.takenOut.clear()
            expectThat(fixture.distribute(1_000)["d0"] ?: 0).isLessThan(500)
        }

        @Test
        fun `Given few requests, when a host refuses as busy, then its share falls without an ejection`() {
            threePerDomain.distribute(10)
            threePerDomain.recordAttempts("d0-h0", 10, AttemptOutcome.REFUSED_BUSY)
            expectThat(List(1_000) { threePerDomain.choose().host }.count { it == HostId("d0-h0") }).isLessThan(100)
            expectThat(threePerDomain.codeOf("d0-h0")).isNull()
        }
    }

    @Nested
    inner class `Outlier ejection` {
        @Test
        fun `Given failures in a row, when they reach the threshold, then the host is ejected for a limited time`() {
            fixture.distribute(10)
            fixture.recordAttempts("d0-h0", 3, AttemptOutcome.FAILED)
            expectThat(fixture.codeOf("d0-h0")).isEqualTo(ResultCode.TARGET_DOWN)
            fixture.clock.advance(2.seconds)
            expectThat(fixture.codeOf("d0-h0")).isNull()
        }

        @Test
        fun `Given failures of all hosts, when hosts are ejected, then at most half of them are`() {
            fixture.distribute(10)
            repeat(6) { fixture.recordAttempts("d$it-h0", 10, AttemptOutcome.FAILED) }
            val ejected = fixture.chooser.explain(fixture.request()).count { it.code == ResultCode.TARGET_DOWN }
            expectThat(ejected).isLessThanOrEqualTo(3)
        }

        @Test
        fun `Given that all hosts seem dead, when a host is chosen, then one of them is tried`() {
            repeat(6) { fixture.fleet.states[HostId("d$it-h0")] = Liveness.DEAD }
            expectThat(fixture.choose().service).isEqualTo(FixedFleet.SERVICE)
        }

        @Test
        fun `Given that most hosts seem dead, when hosts are chosen, then dead ones are probed at intervals`() {
            (1..5).forEach { fixture.fleet.states[HostId("d$it-h0")] = Liveness.DEAD }
            val dead = List(1_000) {
                fixture.clock.advance(10.milliseconds)
                fixture.choose().host
            }.count { it != HostId("d0-h0") }
            expectThat(dead).isIn(5..25)
        }
    }
}
