package kingcuptide.forwarder.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/**
 * Guards against targets that get far more requests a second than the rate that they name (LIMIT of the users), or
 * requests long after they have said that they leave (DRAIN).
 */
internal class TargetNoticeFleetTest {
    private val seeds = 1..(System.getProperty("kingcuptide.seeds")?.toInt() ?: SEEDS)

    @Test
    fun `Given targets that name a rate or leave, when hosts restart, then no target gets what it does not take`() {
        val failed = seeds.associateWith { TargetNoticeSimulation(it).run() }.filterValues { it.isNotEmpty() }
        println("seeds=${seeds.last} failed=${failed.size}")
        failed.entries.take(5).forEach { (seed, excess) -> println("seed=$seed ${excess.size} ${excess.take(3)}") }
        expectThat(failed.keys).isEmpty()
    }

    @Test
    fun `Given other targets with room for all, when some name a rate or leave, then requests are served there`() {
        val shares = seeds.map { seed -> TargetNoticeSimulation(seed).also { it.run() }.servedShare }
        println("served: least=${shares.min()} mean=${shares.average()}")
        expectThat(shares.min()).isGreaterThan(MIN_SERVED_SHARE)
    }

    private companion object {
        const val SEEDS = 20

        /** Share of the requests that must be served, of those sent to entries that are up; some are cut by restarts. */
        const val MIN_SERVED_SHARE = 0.95
    }
}
