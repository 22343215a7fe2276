package kingcuptide.forwarder.process

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.io.File

/** Compares the tables of docs/OPERATIONS.md with the code. */
internal class OperationsPageTest {
    private val root = File("..").canonicalFile
    private val page = File(root, "docs/OPERATIONS.md").readText()
    private val sources = listOf("forwarder", "platform")
        .flatMap { File(root, "$it/src/main").walk().filter { file -> file.extension == "kt" } }
        .map { it.readText() }

    private fun namesIn(text: String, pattern: Regex): Set<String> =
        pattern.findAll(text).mapTo(sortedSetOf()) { it.groupValues[1] }

    @Test
    fun `Given the events in the code, when compared with the page, then the page lists exactly these`() {
        val events = sources.flatMapTo(sortedSetOf()) { namesIn(it, EVENT) }
        val table = page.substringAfter("## Events").substringBefore("## Metrics")
        expectThat(events.size).isGreaterThan(20)
        expectThat(namesIn(table, NAME)).isEqualTo(events)
    }

    @Test
    fun `Given the gauges in the code, when compared with the page, then the page lists each`() {
        val gauges = sources.flatMapTo(sortedSetOf()) { namesIn(it, GAUGE) }
        expectThat(gauges.size).isGreaterThan(4)
        expectThat(gauges.filter { "`$it" !in page }).isEqualTo(emptyList())
    }

    private companion object {
        val EVENT = Regex("""log\.(?:info|warn|error|debug)\(\s*"([a-z_]+)"""")
        val NAME = Regex("""`([a-z_]+)`(?=[,| ])""")
        val GAUGE = Regex("""registerGauge\("([a-z_]+)"""")
    }
}
