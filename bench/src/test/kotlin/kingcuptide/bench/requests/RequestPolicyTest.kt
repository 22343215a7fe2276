package kingcuptide.bench.requests

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.ResultCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RequestPolicyTest {
    @Nested
    inner class `Failure domain that leaves and returns cold` {
        @Test
        fun `Given a planned leave, when it returns, then no request fails and no target exceeds its capacity`() {
            val scenario = georgia(seed = 21)
            scenario.leaveAndReturn(DOMAIN, leaveAt = 30.seconds, returnAt = 40.seconds)
            scenario.run(Load(scenario.capacityPerSecond * 0.6, until = 65.seconds))
            val seconds = scenario.load.seconds.drop(WARM_UP_SECONDS)
            expectThat(seconds.sumOf { it.failed(idempotent = true) + it.failed(idempotent = false) }).isEqualTo(0)
            expectThat(scenario.fleet.targets().sumOf { it.target!!.admittedBeyond }).isEqualTo(0)
        }

        @Test
        fun `Given a sudden loss, when it returns, then no idempotent request fails`() {
            val scenario = georgia(seed = 22)
            scenario.loseAndReturn(DOMAIN, loseAt = 30.seconds, returnAt = 40.seconds)
            scenario.run(Load(scenario.capacityPerSecond * 0.6, until = 65.seconds))
            val seconds = scenario.load.seconds.drop(WARM_UP_SECONDS)
            expectThat(seconds.sumOf { it.failed(idempotent = true) }).isEqualTo(0)
            expectThat(scenario.load.worstRunsOfNonRepeatable()).isLessThanOrEqualTo(1)
            expectThat(scenario.fleet.targets().sumOf { it.target!!.admittedBeyond }).isEqualTo(0)
        }
    }

    @Nested
    inner class `Overload` {
        @Test
        fun `Given four times the capacity, when offered, then goodput is at least 95 percent of that at capacity`() {
            val atCapacity = goodput(factor = 1)
            expectThat(goodput(factor = 4)).isGreaterThanOrEqualTo(atCapacity * 0.95)
        }

        private fun goodput(factor: Int): Double {
            val scenario = georgia(seed = 23)
            scenario.load.start(Load(scenario.capacityPerSecond * 0.6, until = 25.seconds))
            scenario.time.runUntil(25.seconds)
            scenario.run(Load(scenario.capacityPerSecond * factor, until = 35.seconds))
            return scenario.load.seconds.drop(WARM_UP_SECONDS + 3).sumOf { it.answered }.toDouble()
        }
    }

    @Nested
    inner class `Request that crashes targets` {
        @Test
        fun `Given one caller, when it resends after 250 ms through random entries, then at most two targets crash`() {
            for (seed in 1L..10L) {
                val result = PoisonRun(FleetShape.GEORGIA, seed, resendAfter = 250.milliseconds).run()
                expectThat(result.crashes).describedAs("crashes, seed $seed").isLessThanOrEqualTo(2)
                expectThat(result.lastCode).isEqualTo(ResultCode.QUARANTINED)
            }
        }

        @Test
        fun `Given one caller, when it resends at once, then at most four targets crash before the quarantine`() {
            for (seed in 1L..10L) {
                val result = PoisonRun(FleetShape.GEORGIA, seed, resendAfter = 1.milliseconds).run()
                expectThat(result.crashes).describedAs("crashes, seed $seed").isLessThanOrEqualTo(4)
                expectThat(result.lastCode).isEqualTo(ResultCode.QUARANTINED)
            }
        }

        @Test
        fun `Given three callers, when they resend at once, then each crashes at most two targets on average`() {
            for (seed in 1L..5L) {
                val result = PoisonRun(FleetShape.GEORGIA, seed, resendAfter = 1.milliseconds, callers = 3).run()
                expectThat(result.crashes).describedAs("crashes, seed $seed").isLessThanOrEqualTo(6)
            }
        }
    }

    @Nested
    inner class `Chain of 22 calls` {
        @Test
        fun `Given every response is lost at the deepest level, when retried, then runs stay within the budget`() {
            val result = ChainRun(depth = 22, seed = 1, plain = false).run(calls = 1_000)
            expectThat(result.leafRunsPerCall).isLessThanOrEqualTo(1.25)
        }

        @Test
        fun `Given the plain policy, when retried at each level, then runs multiply without bound`() {
            expectThat(ChainRun(depth = 22, seed = 1, plain = true).run(calls = 1).leafRuns).isGreaterThan(999_999)
        }
    }

    private fun georgia(seed: Long) = Scenario(FleetShape.GEORGIA, TargetShape(), seed, plain = false)

    private companion object {
        const val WARM_UP_SECONDS = 25
        val DOMAIN = FailureDomainId("d0")
    }
}
