package kingcuptide.coordination.connection

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/** Explores seeded random histories of a connection and compares what both ends saw. */
internal class ConnectionModelTest {
    @Test
    fun `Given any history, when requests end, then not run is true, none starts twice and answers are whole`() {
        val ends = mutableMapOf<EntryEnd, Int>()
        val faults = mutableListOf<String>()
        for (seed in 1..HISTORIES) {
            val history = ConnectionHistory(Random(seed))
            repeat(STEPS) { history.step() }
            for ((number, request) in history.requests) {
                request.end?.let { ends.merge(it, 1, Int::plus) }
                if (request.forwards > 1 || (request.end == EntryEnd.NOT_RUN && request.forwards > 0)) {
                    faults += "seed=$seed number=$number forwards=${request.forwards} end=${request.end}"
                }
            }
        }
        println("seeds=1..$HISTORIES ends=$ends")

        expectThat(faults.take(3)).isEmpty()
        EntryEnd.entries.forEach { expectThat(ends[it] ?: 0).isGreaterThan(HISTORIES / 10) }
    }

    private companion object {
        const val HISTORIES = 5_000
        const val STEPS = 300
    }
}
