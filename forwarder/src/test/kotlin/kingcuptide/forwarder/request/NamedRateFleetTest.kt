package kingcuptide.forwarder.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty

/** Guards against targets that get far more requests a second than the rate that they name (LIMIT of the users). */
internal class NamedRateFleetTest {
    private val seeds = 1..(System.getProperty("kingcuptide.seeds")?.toInt() ?: SEEDS)

    @Test
    fun `Given targets that name a rate, when hosts restart and rates change, then no target gets more than it named`() {
        val failed = seeds.associateWith { NamedRateSimulation(it).run() }.filterValues { it.isNotEmpty() }
        println("seeds=${seeds.last} failed=${failed.size}")
        failed.entries.take(5).forEach { (seed, excess) -> println("seed=$seed ${excess.size} ${excess.take(3)}") }
        expectThat(failed.keys).isEmpty()
    }

    private companion object {
        const val SEEDS = 20
    }
}
