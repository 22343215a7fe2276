package kingcuptide.coordination.version

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.ResultCode
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

internal class ReadDocumentTest {
    @Nested
    inner class `Given a text of the right shape` {
        @Test
        fun `when it is read, then every field is decoded`() {
            val text = Json.encodeToString(ConfigDocument.serializer(), sampleDocument())
            expectThat(readDocument(text).get()).isEqualTo(sampleDocument())
        }

        @Test
        fun `when a host list is read, then every host is decoded`() {
            val text = Json.encodeToString(HostList.serializer(), sampleHostList())
            expectThat(readHostList(text).get()).isEqualTo(sampleHostList())
        }
    }

    @Nested
    inner class `Given a text of the wrong shape` {
        @Test
        fun `when it has several faults, then each is reported with code and path`() {
            val text =
                """
                {
                  "version": "7",
                  "colour": 1,
                  "services": {"parcels": {"slots": 99999999999, "maxConnections": 5, "slot": 1}},
                  "routes": {"lookup": {"pathPrefix": "/parcels", "methods": ["GET", 5]}},
                  "workspaces": []
                }
                """
            expectThat(faultsOf(text)).containsExactlyInAnyOrder(
                ResultCode.DOCUMENT_UNREADABLE to "version",
                ResultCode.DOCUMENT_UNKNOWN_FIELD to "colour",
                ResultCode.DOCUMENT_VALUE_OUT_OF_RANGE to "services.parcels.slots",
                ResultCode.DOCUMENT_UNKNOWN_FIELD to "services.parcels.slot",
                ResultCode.DOCUMENT_UNREADABLE to "routes.lookup.service",
                ResultCode.DOCUMENT_UNREADABLE to "routes.lookup.methods[1]",
                ResultCode.DOCUMENT_UNREADABLE to "workspaces",
            )
        }

        @Test
        fun `when it is not JSON, then it is unreadable`() {
            for (text in listOf("", "{", "[1", "null", "7", "{\"version\": 1}}", "{\"version\": null}")) {
                expectThat(readDocument(text).get()).isNull()
                expectThat(faultsOf(text).map { it.first }.toSet()).isEqualTo(setOf(ResultCode.DOCUMENT_UNREADABLE))
            }
        }

        @Test
        fun `when it is nested deeply, then it is unreadable`() {
            val text = "{\"version\":" + "[".repeat(500_000) + "]".repeat(500_000) + "}"
            expectThat(faultsOf(text)).isEqualTo(listOf(ResultCode.DOCUMENT_UNREADABLE to ""))
        }

        @Test
        fun `when a key is duplicate, then it is unreadable`() {
            val text = """{"version": 1, "workspaces": {"a": {}, "\u0061": {}}, "version": 2}"""
            expectThat(faultsOf(text)).containsExactlyInAnyOrder(
                ResultCode.DOCUMENT_UNREADABLE to "workspaces.a",
                ResultCode.DOCUMENT_UNREADABLE to "version",
            )
        }
    }

    @Nested
    inner class `Given a text at the size limit` {
        private val bare = "{\"version\": 1}"

        @Test
        fun `when it has exactly this size, then it is read`() {
            expectThat(readDocument(bare.padEnd(MAX_RESOURCE_BYTES)).get()).isEqualTo(ConfigDocument(1))
        }

        @Test
        fun `when it is one byte over, then it is too large`() {
            expectThat(faultsOf(bare.padEnd(MAX_RESOURCE_BYTES + 1)))
                .isEqualTo(listOf(ResultCode.DOCUMENT_TOO_LARGE to ""))
        }

        @Test
        fun `when its characters are below the limit but its bytes are not, then it is too large`() {
            val text = "{\"version\": 1, \"x\": \"" + "é".repeat(MAX_RESOURCE_BYTES / 2) + "\"}"
            expectThat(faultsOf(text)).isEqualTo(listOf(ResultCode.DOCUMENT_TOO_LARGE to ""))
        }
    }

    private fun faultsOf(text: String): List<Pair<ResultCode, String>> =
        readDocument(text).getError().orEmpty().map { it.code to it.path }
}
