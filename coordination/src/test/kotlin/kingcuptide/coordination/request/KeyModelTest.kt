package kingcuptide.coordination.request

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Explores seeded random histories of five hosts: host list changes, restarts, process pauses, lost, duplicated and
 * reordered messages, and the same key sent to several gates.
 *
 * The histories satisfy one assumption: no host confirms a view later than the confirmation lag after another host of
 * its failure domain got a newer one. A host that receives nothing confirms nothing. Between failure domains views may
 * differ for any time.
 */
internal class KeyModelTest {
    private val settings = testKeySettings
    private val rules = keyRules(settings)

    /** Returns the first seed whose history ran a key twice, or null, and the number of runs. */
    private fun explore(
        rules: KeyRules,
        histories: Int,
    ): Exploration {
        var runs = 0
        for (seed in 1..histories) {
            val history = KeyHistory(Random(seed), settings, rules)
            repeat(STEPS) { history.step() }
            runs += history.simulation.runs.size
            if (history.simulation.findDoubleRun() != null) {
                return Exploration(seed, runs)
            }
        }
        return Exploration(null, runs)
    }

    @Test
    fun `Given all rules, when histories are explored, then no key runs twice`() {
        val exploration = explore(rules, HISTORIES)
        println("seeds=1..$HISTORIES runs=${exploration.runs}")

        expectThat(exploration.failedSeed).isNull()
        expectThat(exploration.runs).isGreaterThan(HISTORIES / 4)
    }

    @Nested
    inner class WeakenedRules {
        private fun expectDoubleRun(weakened: KeyRules) {
            val exploration = explore(weakened, HISTORIES)
            println("failed seed=${exploration.failedSeed}")
            expectThat(exploration.failedSeed).isNotNull()
        }

        @Test
        fun `Given a quorum of one, when histories are explored, then a key runs twice`() {
            expectDoubleRun(rules.copy(quorum = 1))
        }

        @Test
        fun `Given no hold-off, when histories are explored, then a key runs twice`() {
            expectDoubleRun(rules.copy(holdOff = Duration.ZERO))
        }

        @Test
        fun `Given a hold-off of the resend window alone, when histories are explored, then a key runs twice`() {
            expectDoubleRun(rules.copy(holdOff = settings.resendWindow))
        }

        @Test
        fun `Given no check of the witness view, when histories are explored, then a key runs twice`() {
            expectDoubleRun(rules.copy(checksView = false))
        }

        @Test
        fun `Given no limit on the start delay, when histories are explored, then a key runs twice`() {
            expectDoubleRun(rules.copy(limitsStartDelay = false))
        }
    }

    private data class Exploration(
        val failedSeed: Int?,
        val runs: Int,
    )

    private companion object {
        const val HISTORIES = 20_000
        const val STEPS = 120
    }
}
