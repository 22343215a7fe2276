package kingcuptide.coordination.version

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import com.github.michaelbull.result.unwrap
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.ResultCode
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import kotlin.random.Random

internal class DocumentFuzzTest {
    private val random = Random(SEED)
    private val original = Json.encodeToString(ConfigDocument.serializer(), sampleDocument())
    private val originalHosts = Json.encodeToString(HostList.serializer(), sampleHostList())

    @Nested
    inner class `Given a document whose text is mutated` {
        @Test
        fun `when it is read, then it is valid or all its faults have document codes`() {
            println("seed=$SEED")
            var unreadable = 0
            var invalid = 0
            var valid = 0
            repeat(ROUNDS) {
                val text = mutate(original)
                val read = readDocument(text).onFailure { expectDocumentCodes(it) }.get()
                val all = findDocumentFaults(text)
                expectThat(all.isEmpty()).isEqualTo(read != null && validateDocument(read).isEmpty())
                expectThat(all.containsAll(readDocument(text).getError().orEmpty())).isTrue()
                when {
                    read == null -> unreadable++
                    checkDocument(read) -> valid++
                    else -> invalid++
                }
            }
            println("unreadable=$unreadable invalid=$invalid valid=$valid")
            expectThat(minOf(unreadable, invalid, valid)).isGreaterThan(0)
        }

        private fun checkDocument(document: ConfigDocument): Boolean {
            val faults = validateDocument(document)
            documentWarnings(document)
            validateAgainstHosts(document, sampleHostList())
            expectThat(snapshotOf(document).getError().orEmpty()).isEqualTo(faults)
            if (faults.isNotEmpty()) {
                expectDocumentCodes(faults)
                return false
            }
            expectThat(document.toContent().toDocument().unwrap()).isEqualTo(document)
            val snapshot = snapshotOf(document).unwrap()
            for ((id, route) in document.routes) {
                val method = route.methods.firstOrNull() ?: "GET"
                val found = snapshot.match(method, route.pathPrefix) as RouteMatch.Found
                expectThat(found.routeId).isEqualTo(id)
            }
            return true
        }
    }

    @Nested
    inner class `Given a host list whose text is mutated` {
        @Test
        fun `when it is read, then it is valid or all its faults have document codes`() {
            println("seed=$SEED")
            repeat(ROUNDS) {
                readHostList(mutate(originalHosts)).onFailure { expectDocumentCodes(it) }.onSuccess { list ->
                    val faults = validateHostList(list)
                    if (faults.isEmpty()) list.toContent().toHostList().unwrap() else expectDocumentCodes(faults)
                    validateAgainstHosts(sampleDocument(), list)
                }
            }
        }
    }

    @Nested
    inner class `Given a content whose entries are mutated` {
        @Test
        fun `when it is decoded, then it is a document or all its faults have document codes`() {
            println("seed=$SEED")
            val entries = sampleDocument().toContent().entries
            repeat(ROUNDS) {
                val key = entries.keys.random(random)
                val changed = entries - key + (mutate(key) to mutate(entries.getValue(key)))
                ResourceContent.of(ResourceKind.DOCUMENT, 1, changed).toDocument().onFailure { expectDocumentCodes(it) }
            }
        }
    }

    private fun expectDocumentCodes(faults: List<DocumentFault>) {
        expectThat(faults).isNotEmpty()
        expectThat(faults.map { it.code }).all { isContainedIn(DOCUMENT_CODES) }
        expectThat(faults.map { it.severity }).all { isEqualTo(Severity.ERROR) }
    }

    private fun mutate(text: String): String {
        var mutated = text
        repeat(random.nextInt(1, MAX_MUTATIONS)) { mutated = mutateOnce(mutated) }
        return mutated
    }

    private fun mutateOnce(text: String): String {
        if (text.isEmpty()) return text
        val start = random.nextInt(text.length)
        val end = minOf(text.length, start + random.nextInt(1, MAX_MUTATION_LENGTH))
        return when (random.nextInt(MUTATION_KINDS)) {
            0 -> text.replaceRange(start, end, "")
            1 -> text.replaceRange(start, start, text.substring(start, end))
            2 -> text.replaceRange(start, start + 1, random.nextInt(MAX_CHARACTER).toChar().toString())
            3 -> text.replaceRange(start, end, TOKENS.random(random))
            4 -> DIGITS.replace(text) { if (random.nextInt(8) == 0) NUMBERS.random(random) else it.value }
            5 -> text.replaceRange(start, start, TOKENS.random(random))
            else -> text.take(start)
        }
    }

    private companion object {
        const val SEED = 815L
        const val ROUNDS = 20_000
        const val MAX_MUTATIONS = 4
        const val MAX_MUTATION_LENGTH = 30
        const val MUTATION_KINDS = 7
        const val MAX_CHARACTER = 0x10000
        val DIGITS = Regex("[0-9]+")
        val NUMBERS =
            listOf("0", "-1", "3", "1e3", "1.5", "2147483648", "9223372036854775808", "01", "0x1", "NaN", "1e999")
        val TOKENS =
            listOf("{", "}", "[", "]", ",", ":", "\"", "null", "true", "{}", "[]", "\\", "\\ud800", "//", "/*", " ")
        val DOCUMENT_CODES = ResultCode.entries.filter { it.number in 400..499 }
    }
}
