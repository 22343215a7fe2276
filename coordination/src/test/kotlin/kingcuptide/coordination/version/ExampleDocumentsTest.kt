package kingcuptide.coordination.version

import com.github.michaelbull.result.unwrap
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostList
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.elementNames
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.readText

internal class ExampleDocumentsTest {
    @Nested
    inner class `Given the example document of a user` {
        @ParameterizedTest
        @ValueSource(strings = ["georgia", "belgium"])
        fun `when it is validated, then there is neither error nor warning`(user: String) {
            val document = document(user)
            val hosts = hosts(user)
            expectThat(validateDocument(document) + documentWarnings(document)).isEmpty()
            expectThat(validateHostList(hosts) + validateAgainstHosts(document, hosts)).isEmpty()
        }

        @ParameterizedTest
        @ValueSource(strings = ["georgia", "belgium"])
        fun `when its size is checked, then it is that of the fleet of the user`(user: String) {
            val document = document(user)
            val hosts = hosts(user).hosts
            expectThat(document.failureDomains.size).isEqualTo(6)
            expectThat(document.regions().size).isEqualTo(3)
            expectThat(hosts.size).isEqualTo(18)
            expectThat(
                hosts.groupBy {
                    it.service
                }.mapValues { it.value.size }.values.toList(),
            ).isEqualTo(listOf(6, 6, 6))
            expectThat(hosts.map { it.service }.toSet()).isEqualTo(document.services.keys)
            expectThat(hosts.map { it.ip }.toSet().size).isEqualTo(18)
        }

        @ParameterizedTest
        @ValueSource(
            strings = [
                "georgia POST /rounds/traps",
                "georgia POST /visits",
                "belgium POST /munten",
                "belgium POST /stortingen",
            ],
        )
        fun `when a booking, trap log or deposit is routed, then it is not idempotent`(request: String) {
            val (user, method, path) = request.split(' ')
            val found = snapshotOf(document(user)).unwrap().match(method, path) as RouteMatch.Found
            expectThat(found.idempotent).isEqualTo(false)
        }
    }

    @Nested
    inner class `Given the documentation of documents` {
        @Test
        fun `when it is read, then it lists every field`() {
            val page = ROOT.resolve("docs").resolve("DOCUMENT.md").readText()
            val serializers =
                listOf(
                    ConfigDocument.serializer(),
                    FailureDomainSpec.serializer(),
                    ServiceSpec.serializer(),
                    RouteSpec.serializer(),
                    WorkspaceSpec.serializer(),
                    FleetLimits.serializer(),
                    HostList.serializer(),
                    HostEntry.serializer(),
                )
            for (name in serializers.flatMap { namesOf(it.descriptor) }) {
                expectThat(page).contains(Regex("`([a-zA-Z]+\\.\\*\\.)?$name` \\|"))
            }
        }

        private fun namesOf(descriptor: SerialDescriptor): List<String> = descriptor.elementNames.toList()
    }

    private fun document(user: String): ConfigDocument =
        readDocument(ROOT.resolve("examples").resolve(user).resolve("document.json").readText()).unwrap()

    private fun hosts(user: String): HostList =
        readHostList(ROOT.resolve("examples").resolve(user).resolve("hosts.json").readText()).unwrap()

    private companion object {
        val ROOT: Path = Path.of("..")
    }
}
