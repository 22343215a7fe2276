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
        fun `Given reasons against hosts, when explained, then each has its code`() {
            fixture.takenOut += FailureDomainId("d0")
            fixture.fleet.states[HostId("d1-h0")] = Liveness.LEAVING
            fixture.fleet.states[HostId("d2-h0")] = Liveness.DEAD
            expectThat(fixture.codeOf("d0-h0")).isEqualTo(ResultCode.FAILURE_DOMAIN_TAKEN_OUT)
            expectThat(fixture.codeOf("d1-h0")).isEqualTo(ResultCode.DRAINING)
            expectThat(fixture.codeOf("d2-h0")).isEqualTo(ResultCode.PEER_UNREACHABLE)
            expectThat(fixture.codeOf("d3-h0")).isNull()
        }

        @Test
        fun `Given home regions, when chosen many times, then no other region gets the request`() {
            val home = HomeRegions.Only(setOf(RegionId("r1")))
            repeat(500) { expectThat(fixture.choose(fixture.request(home = home)).region).isEqualTo(RegionId("r1")) }
        }

        @Test
        fun `Given no home region with a target, when chosen, then there is none and it did not run`() {
            val choice = fixture.chooser.choose(fixture.request(home = HomeRegions.Only(setOf(RegionId("r9")))))
            expectThat(choice).isA<TargetChoice.None>().get { code }.isEqualTo(ResultCode.NO_TARGET)
        }

        @Test
        fun `Given all domains are out, when even the dead are asked for, then none is chosen`() {
            repeat(6) { fixture.takenOut += FailureDomainId("d$it") }
            val choice = fixture.chooser.choose(fixture.request())
            expectThat(choice).isA<TargetChoice.None>().get { code }.isEqualTo(ResultCode.FAILURE_DOMAIN_TAKEN_OUT)
        }

        @Test
        fun `Given a tried host, when chosen again, then its failure domain is avoided`() {
            val uneven = ChooserFixture(perDomain = List(6) { 3 })
            repeat(200) {
                val chosen = uneven.choose(uneven.request(tried = setOf(HostId("d0-h0"))))
                expectThat(chosen.failureDomain).isNotEqualTo(FailureDomainId("d0"))
            }
        }
    }

    @Nested
    inner class `Locality` {
        @Test
        fun `Given equal capacity everywhere, when chosen, then all stays in the own failure domain`() {
            expectThat(fixture.spread(1_000)).isEqualTo(mapOf("d0" to 1_000))
        }

        @Test
        fun `Given growing capacity at home, when chosen, then the share at home grows without a jump`() {
            val shares = (0..6).map { own -> ChooserFixture(listOf(own, 4, 4, 4, 4, 4)).spread(4_000)["d0"] ?: 0 }
            shares.zipWithNext { less, more -> expectThat(more).isGreaterThan(less - 150) }
            shares.zipWithNext { less, more -> expectThat(more - less).isLessThan(1_400) }
            expectThat(shares.first()).isEqualTo(0)
        }

        @Test
        fun `Given no target at home and room in the region, when chosen, then it stays in the region`() {
            val spread = ChooserFixture(listOf(0, 4, 2, 2, 2, 2)).spread(2_000)
            expectThat(spread["d1"] ?: 0).isGreaterThan(1_800)
        }

        @Test
        fun `Given a region without room, when chosen, then the rest goes to other regions by what is left there`() {
            val spread = ChooserFixture(listOf(0, 1, 4, 4, 0, 0)).spread(2_000)
            expectThat((spread["d2"] ?: 0) + (spread["d3"] ?: 0)).isGreaterThan(1_000)
        }
    }

    @Nested
    inner class `What hosts say and do` {
        private val near = ChooserFixture(perDomain = List(6) { 3 })

        @Test
        fun `Given a host that claims to be idle, when it has work of this entry, then it gets no more than others`() {
            repeat(20) { near.chooser.begin(HostId("d0-h0")) }
            near.chooser.finish(
                HostId("d0-h0"),
                AttemptOutcome.ANSWERED,
                GateLoad(inFlight = 0, limit = 1_000, queued = 0),
            )
            val chosen = List(1_000) { near.choose().host }.count { it == HostId("d0-h0") }
            expectThat(chosen).isLessThan(50)
        }

        @Test
        fun `Given a host that claims to be full for ever, when chosen, then it still gets a part`() {
            repeat(1_000) {
                near.chooser.begin(HostId("d0-h0"))
                near.chooser.finish(HostId("d0-h0"), AttemptOutcome.ANSWERED, GateLoad(10, 10, 20))
            }
            near.clock.advance(1.seconds)
            expectThat(List(1_000) { near.choose().host }.count { it == HostId("d0-h0") }).isGreaterThan(20)
        }

        @Test
        fun `Given a restarted host, when it is new, then it gets few requests and later its part`() {
            near.clock.advance(60.seconds)
            near.spread(10)
            near.fleet.incarnations[HostId("d0-h0")] = Incarnation(2)
            val early = List(1_000) { near.choose().host }.count { it == HostId("d0-h0") }
            near.clock.advance(20.seconds)
            val late = List(1_000) { near.choose().host }.count { it == HostId("d0-h0") }
            expectThat(early).isLessThan(60)
            expectThat(late).isGreaterThan(200)
        }

        @Test
        fun `Given a failure domain that returns, when it is new, then its host starts slowly`() {
            fixture.clock.advance(60.seconds)
            fixture.takenOut += FailureDomainId("d0")
            fixture.spread(10)
            fixture.takenOut.clear()
            expectThat(fixture.spread(1_000)["d0"] ?: 0).isLessThan(500)
        }

        @Test
        fun `Given few requests, when a host refuses for being busy, then its share falls for a while`() {
            near.spread(10)
            near.attempts("d0-h0", 10, AttemptOutcome.REFUSED_BUSY)
            expectThat(List(1_000) { near.choose().host }.count { it == HostId("d0-h0") }).isLessThan(100)
            expectThat(near.codeOf("d0-h0")).isNull()
        }
    }

    @Nested
    inner class `Outliers` {
        @Test
        fun `Given failures in a row, when there are enough, then the host is set aside and comes back`() {
            fixture.spread(10)
            fixture.attempts("d0-h0", 3, AttemptOutcome.FAILED)
            expectThat(fixture.codeOf("d0-h0")).isEqualTo(ResultCode.TARGET_DOWN)
            fixture.clock.advance(2.seconds)
            expectThat(fixture.codeOf("d0-h0")).isNull()
        }

        @Test
        fun `Given all hosts fail, when set aside, then at most half of them are`() {
            fixture.spread(10)
            repeat(6) { fixture.attempts("d$it-h0", 10, AttemptOutcome.FAILED) }
            val aside = fixture.chooser.explain(fixture.request()).count { it.code == ResultCode.TARGET_DOWN }
            expectThat(aside).isLessThanOrEqualTo(3)
        }

        @Test
        fun `Given all look dead, when chosen, then one of them is tried rather than none`() {
            repeat(6) { fixture.fleet.states[HostId("d$it-h0")] = Liveness.DEAD }
            expectThat(fixture.choose().service).isEqualTo(FixedFleet.SERVICE)
        }

        @Test
        fun `Given most look dead, when chosen, then the dead are tried now and then and the last get the rest`() {
            (1..5).forEach { fixture.fleet.states[HostId("d$it-h0")] = Liveness.DEAD }
            val dead = List(1_000) {
                fixture.clock.advance(10.milliseconds)
                fixture.choose().host
            }.count { it != HostId("d0-h0") }
            expectThat(dead).isIn(5..25)
        }
    }
}
