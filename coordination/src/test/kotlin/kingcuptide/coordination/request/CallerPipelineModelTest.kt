package kingcuptide.coordination.request

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import kotlin.random.Random

/** Guards against responses to other requests, requests that run although their caller sends them again, and stalls. */
internal class CallerPipelineModelTest {
    private var earlyStarts = 0
    private var closes = 0

    private fun violations(histories: Int, fault: PipelineFault): List<String> = (1..histories).flatMap { seed ->
        val history = PipelineHistory(Random(seed), fault)
        repeat(STEPS) { history.step() }
        history.finishAll()
        earlyStarts += history.earlyStarts
        if (history.closes) closes++
        history.violations.take(1).map { "seed=$seed $it" }
    }

    @Test
    fun `Given any history, when requests end, then responses are in order and nothing behind a close has started`() {
        val histories = System.getProperty("kingcuptide.seeds")?.toInt() ?: HISTORIES
        val violations = violations(histories, PipelineFault.NONE)
        println("seeds=1..$histories early_starts=$earlyStarts closes=$closes violations=${violations.size}")
        expectThat(violations.take(3)).isEmpty()
        expectThat(earlyStarts).isGreaterThan(histories)
        expectThat(closes).isGreaterThan(histories / 4)
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = ["NONE"])
    fun `Given a connection with a fault, when histories are explored, then a rule is broken`(fault: PipelineFault) {
        val violations = violations(HISTORIES, fault)
        println("$fault: ${violations.size} of $HISTORIES, first: ${violations.firstOrNull()}")
        expectThat(violations).isNotEmpty()
    }

    private companion object {
        const val HISTORIES = 1_000
        const val STEPS = 150
    }
}
