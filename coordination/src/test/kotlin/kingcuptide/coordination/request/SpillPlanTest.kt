package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.TargetId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class SpillPlanTest {
    private fun domain(name: String) = FailureDomainId(name)

    /** Domains a and b are in one region, c and d in another; each has a capacity of 40. */
    private fun planOfA(vararg demands: Double): SpillPlan = SpillPlan.of(
        domain("a"),
        demands.mapIndexed { index, demand ->
            DomainBalance(domain("abcd"[index].toString()), RegionId("r${index / 2}"), demand, capacity = 40.0)
        },
    )

    @Nested
    inner class `Shares that leave a failure domain` {
        @Test
        fun `Given a load below the level, when it is uneven, then all requests stay near`() {
            val plan = planOfA(29.0, 2.0, 2.0, 2.0)
            expectThat(plan.toRegion + plan.elsewhere).isEqualTo(0.0)
        }

        @Test
        fun `Given a peak with room in the region, when shares are planned, then the excess stays in the region`() {
            val plan = planOfA(40.0, 10.0, 10.0, 10.0)
            expectThat(plan.toRegion).isIn(0.24..0.26)
            expectThat(plan.elsewhere).isEqualTo(0.0)
        }

        @Test
        fun `Given a region without room, when shares are planned, then the excess leaves it before it is refused`() {
            val plan = planOfA(45.0, 45.0, 10.0, 10.0)
            expectThat(plan.toRegion).isEqualTo(0.0)
            expectThat(plan.elsewhere).isGreaterThan(0.3)
            expectThat(plan.roomShareOf(domain("c"))).isGreaterThan(0.4)
        }
    }

    @Nested
    inner class `Reports of demand` {
        private val demand = DomainDemand(domain("a"))
        private val pool = DemandPool(ServiceId("s"))
        private val now = 1_000.seconds

        @Test
        fun `Given values out of range, when a report arrives, then it is ignored`() {
            for (value in listOf(-1.0, Double.NaN, Double.POSITIVE_INFINITY, 1e13)) {
                demand.record(TargetId("t"), domain("b"), mapOf(pool.key to DemandEstimate(value, 0.0, 0.0)), now)
                demand.record(TargetId("t"), domain("b"), mapOf(pool.key to DemandEstimate(1.0, 0.0, value)), now)
            }
            demand.record(TargetId("t"), domain("b"), mapOf(pool.key to DemandEstimate(1.0, Double.NaN, 0.0)), now)
            expectThat(demand.of(pool, now)).isEmpty()
        }

        @Test
        fun `Given a daemon that falls silent, when its report is old, then its demand is no longer counted`() {
            demand.record(TargetId("t"), domain("b"), mapOf(pool.key to DemandEstimate(5.0, 0.0, 0.0)), now)
            expectThat(demand.of(pool, now)).isEqualTo(mapOf(domain("a") to 0.0, domain("b") to 5.0))
            expectThat(demand.of(pool, now + 11.seconds)).isEmpty()
        }

        @Test
        fun `Given a steady load, when the own demand is measured, then it is the number of slots in use`() {
            repeat(2_000) { demand.requested(pool, 100.milliseconds, now + 10.milliseconds * it) }
            expectThat(demand.own(now + 20.seconds).getValue(pool.key).mean).isIn(9.5..10.5)
        }
    }
}
