package kingcuptide.systemtests

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.div
import kotlin.io.path.exists
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readText

class PromisesPageTest {
    @Nested
    inner class `Given the page of promises` {
        @Test
        fun `when it names a test class, then some module has the source of that class`() {
            val named = TEST_CLASS.findAll(PAGE.readText()).map { it.value }.toSet()
            expectThat(named).isNotEmpty()
            expectThat(named.filterNot(::hasSource)).isEmpty()
        }

        @Test
        fun `when it names a file of a module, then the file exists`() {
            val named = SOURCE_FILE.findAll(PAGE.readText()).map { it.groupValues[1] }.toSet()
            expectThat(named).isNotEmpty()
            expectThat(named.filterNot { (ROOT / it).exists() }).isEmpty()
        }

        private fun hasSource(className: String): Boolean {
            val source = "src/test/kotlin/${className.replace('.', '/')}.kt"
            return modules().any { (it / source).exists() }
        }

        private fun modules(): List<Path> = ROOT.listDirectoryEntries().filter { (it / "pom.xml").exists() }
    }

    private companion object {
        val ROOT = Path("..")
        val PAGE = ROOT / "docs" / "PROMISES.md"
        val TEST_CLASS = Regex("""\bkingcuptide(\.[a-z]+)+\.[A-Z]\w*Test\b""")
        val SOURCE_FILE = Regex("""`((coordination|daemon|cli|standins|bench)/src/[\w/.-]+\.kt)`""")
    }
}
