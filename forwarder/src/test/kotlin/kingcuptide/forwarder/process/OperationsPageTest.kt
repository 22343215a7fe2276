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
    fun `Given the code, when its events are listed, then the page names just these`() {
        val written = sources.flatMapTo(sortedSetOf()) { namesIn(it, EVENT) }
        val table = page.substringAfter("## Events").substringBefore("## Metrics")
        expectThat(written.size).isGreaterThan(20)
        expectThat(namesIn(table, NAME)).isEqualTo(written)
    }

    @Test
    fun `Given the metrics that are watched, when they are listed, then the page names each`() {
        val watched = sources.flatMapTo(sortedSetOf()) { namesIn(it, WATCHED) }
        expectThat(watched.size).isGreaterThan(4)
        expectThat(watched.filter { "`$it" !in page }).isEqualTo(emptyList())
    }

    private companion object {
        val EVENT = Regex("""log\.(?:info|warn|error|debug)\(\s*"([a-z_]+)"""")
        val NAME = Regex("""`([a-z_]+)`(?=[,| ])""")
        val WATCHED = Regex("""registerGauge\("([a-z_]+)"""")
    }
}
