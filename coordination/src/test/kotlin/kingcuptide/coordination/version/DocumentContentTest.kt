package kingcuptide.coordination.version

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kingcuptide.coordination.process.ResultCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.random.Random

internal class DocumentContentTest {
    @Nested
    inner class `Given a document` {
        @Test
        fun `when it is converted to canonical form and back, then it is equal`() {
            val documents = listOf(sampleDocument(), ConfigDocument(9), largeDocument(500, Random(SEED)))
            for (document in documents) expectThat(document.toContent().toDocument().get()).isEqualTo(document)
        }

        @Test
        fun `when its maps and sets have a different order, then the digest is the same`() {
            val first = largeDocument(200, Random(SEED)).toContent()
            val second = largeDocument(200, Random(SEED + 1)).toContent()
            expectThat(second.version).isEqualTo(first.version)
        }

        @Test
        fun `when any part of it changes, then the digest changes`() {
            val document = sampleDocument()
            val changed =
                listOf(
                    document.copy(version = 2),
                    document.copy(takenOutFailureDomains = emptySet()),
                    document.copy(limits = FleetLimits(quarantineMs = 5_000)),
                    document.copy(workspaces = document.workspaces - document.workspaces.keys.first()),
                )
            for (other in changed) {
                expectThat(other.toContent().version.digest).isNotEqualTo(document.toContent().version.digest)
            }
        }
    }

    @Nested
    inner class `Given a content that is not a valid document` {
        @Test
        fun `when it is decoded, then each invalid entry is reported`() {
            val entries = sampleDocument().toContent().entries
            val broken =
                entries - "limits" + ("colour/x" to "{}") + ("service/parcels" to "{\"slots\":1}") + ("route/r" to "")
            val content = ResourceContent.of(ResourceKind.DOCUMENT, 1, broken)
            expectThat(content.toDocument().getError().orEmpty().map { it.code to it.path }).containsExactlyInAnyOrder(
                ResultCode.DOCUMENT_UNREADABLE to "limits",
                ResultCode.DOCUMENT_UNKNOWN_FIELD to "colour/x",
                ResultCode.DOCUMENT_UNREADABLE to "service/parcels.maxConnections",
                ResultCode.DOCUMENT_UNREADABLE to "route/r",
            )
        }

        @Test
        fun `when it is of the other kind, then it is rejected`() {
            expectThat(sampleHostList().toContent().toDocument().getError()?.single()?.code)
                .isEqualTo(ResultCode.DOCUMENT_UNREADABLE)
            expectThat(sampleDocument().toContent().toHostList().getError()?.single()?.code)
                .isEqualTo(ResultCode.DOCUMENT_UNREADABLE)
        }
    }

    @Nested
    inner class `Given a host list` {
        @Test
        fun `when it is converted to canonical form and back, then it is ordered by host`() {
            val shuffled = sampleHostList().copy(hosts = sampleHostList().hosts.reversed())
            expectThat(shuffled.toContent().toHostList().get()).isEqualTo(sampleHostList())
            expectThat(shuffled.toContent().version).isEqualTo(sampleHostList().toContent().version)
        }

        @Test
        fun `when an entry describes another host, then it is rejected`() {
            val entries = sampleHostList().toContent().entries
            val content = ResourceContent.of(ResourceKind.HOST_LIST, 1, mapOf("host/z" to entries.values.first()))
            expectThat(content.toHostList().getError()?.single()?.code)
                .isEqualTo(ResultCode.DOCUMENT_BROKEN_REFERENCE)
        }
    }

    @Nested
    inner class `Given a delta` {
        private val base = largeDocument(50, Random(SEED)).toContent()
        private val target = largeDocument(60, Random(SEED), version = 2).toContent()

        @Test
        fun `when it is applied to its base, then the result is the target`() {
            val patched = base.apply(base.deltaTo(target)).get()
            expectThat(patched?.version).isEqualTo(target.version)
            expectThat(patched?.entries).isEqualTo(target.entries)
        }

        @Test
        fun `when it is applied to another version, then the base is unknown`() {
            expectThat(target.apply(base.deltaTo(target)).getError()).isEqualTo(ResultCode.DELTA_BASE_UNKNOWN)
        }

        @Test
        fun `when it is corrupt, then the digest does not match`() {
            val delta = base.deltaTo(target)
            val corrupt =
                listOf(delta.copy(put = delta.put + ("limits" to "{ }")), delta.copy(removed = setOf("limits")))
            for (other in corrupt) expectThat(base.apply(other).getError()).isEqualTo(ResultCode.DELTA_DIGEST_MISMATCH)
        }
    }

    private companion object {
        const val SEED = 20260L
    }
}
