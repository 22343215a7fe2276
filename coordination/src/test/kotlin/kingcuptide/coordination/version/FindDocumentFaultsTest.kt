package kingcuptide.coordination.version

import kingcuptide.coordination.process.ResultCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

internal class FindDocumentFaultsTest {
    @Nested
    inner class `Given a document without faults` {
        @Test
        fun `when its faults are searched, then there are none`() {
            expectThat(findDocumentFaults(DOCUMENT)).isEmpty()
        }
    }

    @Nested
    inner class `Given a document with shape and value faults` {
        @Test
        fun `when its faults are searched, then all are found at once`() {
            val broken =
                DOCUMENT
                    .replace("\"slots\": 10", "\"slots\": 0")
                    .replace("\"timeoutMs\": 100", "\"timeoutMs\": \"100\"")
                    .replace("\"/a\", \"methods\": [\"GET\"]", "\"a\"")
                    .replace("\"workspaces\"", "\"colour\": 1, \"workspaces\"")
                    .replace("\"maxRetries\": 1", "\"maxRetries\": 9, \"retries\": 1")
            expectThat(find(broken)).containsExactlyInAnyOrder(
                ResultCode.DOCUMENT_UNKNOWN_FIELD to "colour",
                ResultCode.DOCUMENT_UNKNOWN_FIELD to "routes.b.retries",
                ResultCode.DOCUMENT_UNREADABLE to "routes.b.timeoutMs",
                ResultCode.DOCUMENT_VALUE_OUT_OF_RANGE to "services.parcels.slots",
                ResultCode.DOCUMENT_VALUE_OUT_OF_RANGE to "services.parcels.coldSlots",
                ResultCode.DOCUMENT_VALUE_OUT_OF_RANGE to "routes.a.pathPrefix",
                ResultCode.DOCUMENT_VALUE_OUT_OF_RANGE to "routes.b.maxRetries",
            )
        }

        @Test
        fun `when only a leaf has the wrong shape, then broken references are found as well`() {
            val broken =
                DOCUMENT
                    .replace("\"timeoutMs\": 100", "\"timeoutMs\": \"100\"")
                    .replace("[\"north\"]", "[\"west\"]")
                    .replace("\"slots\": 10", "\"slots\": \"10\"")
                    .replace("\"a\": {\"service\": \"parcels\"", "\"a\": {\"service\": \"gone\"")
            expectThat(find(broken)).containsExactlyInAnyOrder(
                ResultCode.DOCUMENT_UNREADABLE to "services.parcels.slots",
                ResultCode.DOCUMENT_BROKEN_REFERENCE to "routes.a.service",
                ResultCode.DOCUMENT_UNREADABLE to "routes.b.timeoutMs",
                ResultCode.DOCUMENT_BROKEN_REFERENCE to "workspaces.t.homeRegions",
            )
        }
    }

    @Nested
    inner class `Given a document with one shape fault` {
        @Test
        fun `when other checks depend on that field, then no consequential fault is reported`() {
            val shapes =
                mapOf(
                    "\"failureDomains\": {\"n1\": {\"region\": \"north\"}}" to "\"failureDomains\": 5",
                    "\"region\": \"north\"" to "\"region\": 5",
                    "\"services\": {" to "\"servces\": {",
                    "\"slots\": 10" to "\"slots\": \"10\"",
                    "\"/a\", \"methods\": [\"GET\"]" to "null, \"methods\": [\"GET\"]",
                    "[\"GET\"]" to "\"GET\"",
                    "\"version\": 3" to "\"version\": 3.5",
                )
            for ((correct, wrong) in shapes) {
                expectThat(find(DOCUMENT.replace(correct, wrong)).size).describedAs(wrong).isEqualTo(1)
            }
        }
    }

    private fun find(text: String): List<Pair<ResultCode, String>> = findDocumentFaults(text).map { it.code to it.path }

    private companion object {
        val DOCUMENT =
            """
            {
              "version": 3,
              "failureDomains": {"n1": {"region": "north"}},
              "services": {"parcels": {"slots": 10, "maxConnections": 100, "coldSlots": 5}},
              "routes": {
                "a": {"service": "parcels", "pathPrefix": "/a", "methods": ["GET"]},
                "b": {"service": "parcels", "pathPrefix": "/a", "methods": ["PUT"], "timeoutMs": 100, "maxRetries": 1}
              },
              "workspaces": {"t": {"homeRegions": ["north"]}}
            }
            """.trimIndent()
    }
}
