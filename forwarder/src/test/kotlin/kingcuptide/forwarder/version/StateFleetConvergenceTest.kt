package kingcuptide.forwarder.version

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty

/** Lost and crossed messages, changing readers and disturbed hosts: every other daemon has each change in time. */
internal class StateFleetConvergenceTest {
    private val seeds = 1..(System.getProperty("kingcuptide.seeds")?.toInt() ?: SEEDS)

    @Test
    fun `Given connections and hosts that fail, when the source changes, then undisturbed daemons have it in time`() {
        val failed = seeds.associateWith { StateFleetSimulation(it).run() }.filterValues { it.isNotEmpty() }
        println("seeds=${seeds.last} failed=${failed.size}")
        failed.entries.take(5).forEach { (seed, faults) -> println("seed=$seed ${faults.size} ${faults.take(3)}") }
        expectThat(failed.keys).isEmpty()
    }

    private companion object {
        const val SEEDS = 100
    }
}
