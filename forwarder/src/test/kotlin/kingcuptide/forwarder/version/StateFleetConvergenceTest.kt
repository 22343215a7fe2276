package kingcuptide.forwarder.version

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/** Lost and crossed messages, changing readers and disturbed hosts: every other daemon has each change in time. */
internal class StateFleetConvergenceTest {
    private val seeds =
        (1..(System.getProperty("kingcuptide.seeds")?.toInt() ?: SEEDS)).toSet() + FORMERLY_FAILING_SEEDS

    @Test
    fun `Given connections and hosts that fail, when the source changes, then undisturbed daemons have it in time`() {
        val failed = seeds.associateWith { StateFleetSimulation(it).run() }.filterValues { it.isNotEmpty() }
        println("seeds=${seeds.size} failed=${failed.size}")
        failed.entries.take(5).forEach { (seed, faults) -> println("seed=$seed ${faults.size} ${faults.take(3)}") }
        expectThat(failed.keys).isEmpty()
    }

    @Test
    fun `Given a source that comes back from older copies, when changes are written again, then nothing goes back`() {
        val failed =
            seeds.associateWith { StateFleetSimulation(it, withRestores = true).run() }.filterValues { it.isNotEmpty() }
        println("restores: seeds=${seeds.size} failed=${failed.size}")
        failed.entries.take(5).forEach { (seed, faults) -> println("seed=$seed ${faults.size} ${faults.take(3)}") }
        expectThat(failed.keys).isEmpty()
    }

    @Test
    fun `Given an order by revision alone, when the source comes back older, then the simulation shows it`() {
        val failed = (1..10).count {
            StateFleetSimulation(it, withRestores = true, withEras = false).run().isNotEmpty()
        }
        expectThat(failed).isGreaterThan(0)
    }

    private companion object {
        const val SEEDS = 100

        /** Readers that end while they announce a change, and changes that are undone between two reads. */
        val FORMERLY_FAILING_SEEDS = setOf(705, 1692, 2972)
    }
}
