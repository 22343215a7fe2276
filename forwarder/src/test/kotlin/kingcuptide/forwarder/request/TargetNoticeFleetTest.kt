package kingcuptide.forwarder.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty

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

    private companion object {
        const val SEEDS = 20
    }
}
