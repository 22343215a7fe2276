package kingcuptide.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** All targets come back cold after callers found nobody: their retries must not make later requests late. */
internal class GateColdReturnTest {
    private val lookup = RequestKind("lookup", 0.75, 220.milliseconds, 600.milliseconds, 4.seconds, 2, retries = 2)
    private val order = RequestKind("order", 0.25, 290.milliseconds, 800.milliseconds, 5.seconds, 1, retries = 2)
    private val coldReturn = ColdReturn(absence = 2.seconds, cold = 3.seconds, coldPerSecond = 18)

    /** Callers send 1.5 times what the target bears while it is cold. */
    private val overloadedReturn = ColdReturn(absence = 1.seconds, cold = 3.seconds, coldPerSecond = 26)

    private fun resultsAt(load: Double): List<KindResult> = SEEDS.flatMap { seed ->
        val kinds = listOf(lookup, order).map { it.copy(load = it.load * load) }
        GateSimulation(kinds, SIGMA, seed, coldReturn, learnsWaits = true, measuredAfter = coldReturn.cold)
            .run(12.seconds)
            .values
    }

    @Test
    fun `Given a load of 75 percent, when targets are warm again, then requests sent from then on are on time`() {
        expectThat(resultsAt(0.75).map { it.onTime }.average()).isGreaterThan(MIN_SHARE)
    }

    @Test
    fun `Given a load of 90 percent, when targets are warm again, then requests sent from then on are on time`() {
        expectThat(resultsAt(0.9).map { it.onTime }.average()).isGreaterThan(MIN_SHARE)
        expectThat(resultsAt(0.9).minOf { it.served }).isGreaterThan(MIN_SHARE)
    }

    /**
     * Compares what the gate earns in the seconds after a return with what any scheduler could expect to earn there; all
     * requests count that callers send until the target has been warm for 1 s.
     */
    @Test
    fun `Given a load above what a cold target bears, when it returns, then the gate earns most of what is possible`() {
        var earned = 0.0
        var bound = 0.0
        for (seed in SEEDS) {
            val kinds = listOf(lookup, order).map { it.copy(load = it.load * 0.75) }
            val simulation = GateSimulation(kinds, SIGMA, seed, overloadedReturn, learnsWaits = true)
            val results = simulation.run(overloadedReturn.cold + 1.seconds).values
            earned += results.sumOf { (it.onTime + ColdReturnBound.LATE_CREDIT * it.late) * it.attempted }
            bound += ColdReturnBound(simulation.firstAttempts, overloadedReturn, SIGMA).credit()
        }
        println("earned $earned, bound $bound, ${earned / bound}")
        expectThat(earned).isLessThanOrEqualTo(bound)
        expectThat(earned / bound).isGreaterThan(MIN_SHARE_OF_BOUND)
    }

    private companion object {
        /** Share of the bound that is aimed at. */
        const val MIN_SHARE_OF_BOUND = 0.75
        const val SIGMA = 0.7
        val SEEDS = 1L..10L

        /** Least share of the requests that get a response, and that get it on time, where there is room for all. */
        const val MIN_SHARE = 0.9
    }
}
