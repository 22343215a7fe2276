package kingcuptide.coordination.connection

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/** Runs seeded random histories of a connection and compares the results at both ends. */
internal class ConnectionModelTest {
    @Test
    fun `Given any history, when requests end, then not run is true, none starts twice and responses are complete`() {
        val results = mutableMapOf<EntryResult, Int>()
        val faults = mutableListOf<String>()
        for (seed in 1..HISTORIES) {
            val history = ConnectionHistory(Random(seed))
            repeat(STEPS) { history.step() }
            for ((number, request) in history.requests) {
                request.result?.let { results.merge(it, 1, Int::plus) }
                if (request.forwards > 1 || (request.result == EntryResult.NOT_RUN && request.forwards > 0)) {
                    faults += "seed=$seed number=$number forwards=${request.forwards} result=${request.result}"
                }
            }
        }
        println("seeds=1..$HISTORIES results=$results")

        expectThat(faults.take(3)).isEmpty()
        EntryResult.entries.forEach { expectThat(results[it] ?: 0).isGreaterThan(HISTORIES / 10) }
    }

    private companion object {
        const val HISTORIES = 5_000
        const val STEPS = 300
    }
}
