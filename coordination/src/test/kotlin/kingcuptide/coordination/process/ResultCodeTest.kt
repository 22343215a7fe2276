package kingcuptide.coordination.process

import kingcuptide.coordination.request.Outcome
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.nio.file.Path
import kotlin.io.path.readLines

internal class ResultCodeTest {
    @Nested
    inner class `Given the documentation of the result codes` {
        @Test
        fun `when it is compared with the enum, then it has the same rows in the same order`() {
            val rows = PAGE.readLines().filter { ROW.containsMatchIn(it) }.map { it.substringBeforeLast(" | ") }
            expectThat(rows.joinToString("\n")).isEqualTo(ResultCode.entries.joinToString("\n") { rowOf(it) })
        }

        @Test
        fun `when it is read, then every code has a meaning`() {
            val meanings = PAGE.readLines().filter {
                ROW.containsMatchIn(it)
            }.map { it.split(" | ").last().removeSuffix(" |") }
            expectThat(meanings).all { get { isBlank() }.isFalse() }
        }

        private fun rowOf(code: ResultCode): String {
            val status = if (code.httpStatus == 0) "-" else "${code.httpStatus}"
            val outcome =
                when (code.outcome) {
                    Outcome.NOT_RUN -> "not run"
                    Outcome.UNKNOWN -> "unknown"
                    null -> "-"
                }
            return "| ${code.number} | ${code.name} | $status | $outcome | ${if (code.retryable) "yes" else "no"}"
        }
    }

    @Nested
    inner class `Given all result codes` {
        @Test
        fun `when their numbers are compared, then they are unique and ascending`() {
            val numbers = ResultCode.entries.map { it.number }
            expectThat(numbers).isEqualTo(numbers.distinct().sorted())
        }

        @Test
        fun `when a code may be retried, then the request did not run`() {
            expectThat(ResultCode.entries.filter { it.retryable }).all { get { outcome }.isEqualTo(Outcome.NOT_RUN) }
        }

        @Test
        fun `when the number's hundreds define the outcome of a request, then the code has that outcome`() {
            for (code in ResultCode.entries) {
                val expected =
                    when (code.number / 100) {
                        1, 2 -> Outcome.NOT_RUN
                        3 -> Outcome.UNKNOWN
                        else -> null
                    }
                expectThat(code.outcome).describedAs(code.name).isEqualTo(expected)
                expectThat((code.httpStatus != 0) == (expected != null)).describedAs(code.name).isTrue()
            }
        }
    }

    private companion object {
        val PAGE: Path = Path.of("..", "docs", "RESULT-CODES.md")
        val ROW = Regex("^\\| [0-9]+ \\|")
    }
}
