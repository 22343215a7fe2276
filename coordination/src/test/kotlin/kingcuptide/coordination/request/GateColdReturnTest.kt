package kingcuptide.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** All targets come back cold after callers found nobody: their retries must not make later requests late. */
internal class GateColdReturnTest {
    private val lookup = RequestKind("lookup", 0.75, 220.milliseconds, 600.milliseconds, 4.seconds, 2, retries = 2)
    private val order = RequestKind("order", 0.25, 290.milliseconds, 800.milliseconds, 5.seconds, 1, retries = 2)
    private val coldReturn = ColdReturn(absence = 2.seconds, cold = 3.seconds, coldPerSecond = 18)

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

    private companion object {
        const val SIGMA = 0.7
        val SEEDS = 1L..10L

        /** Least share of the requests that get a response, and that get it on time, where there is room for all. */
        const val MIN_SHARE = 0.9
    }
}
