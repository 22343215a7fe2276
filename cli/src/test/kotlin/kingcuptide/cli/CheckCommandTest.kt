package kingcuptide.cli

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.writeText

class CheckCommandTest {
    @TempDir
    lateinit var directory: Path

    @Nested
    inner class `Given a document without faults` {
        @Test
        fun `when it is checked, then the command ends with 0`() {
            val result = check(DOCUMENT)
            expectThat(result.output).isEqualTo("version 3 may come into force: 0 errors, 0 warnings\n")
            expectThat(result.statusCode).isEqualTo(0)
        }

        @Test
        fun `when the host list has no target for a home region, then that is a warning`() {
            val result = check(DOCUMENT, "{\"revision\": 1, \"hosts\": []}")
            expectThat(result.output).contains("warning").contains("409").contains("routes.book.homeRegions")
            expectThat(result.statusCode).isEqualTo(0)
        }
    }

    @Nested
    inner class `Given a document with faults` {
        private val broken = DOCUMENT.replace("\"slots\": 10", "\"slots\": 0").replace("[\"north\"]", "[\"west\"]")

        @Test
        fun `when it is checked, then all faults are named with code and path and it ends with 2`() {
            val result = check(broken)
            expectThat(result.output).contains("404").contains("services.parcels.slots")
            expectThat(result.output).contains("403").contains("routes.book.homeRegions")
            expectThat(result.output).contains("version 3 is refused: 2 errors, 0 warnings")
            expectThat(result.statusCode).isEqualTo(2)
        }

        @Test
        fun `when JSON is requested, then the output can be parsed`() {
            val result = check(broken, options = "--json")
            val report = OUTPUT_JSON.decodeFromString(CheckReport.serializer(), result.stdout)
            expectThat(report.findings.map { it.code to it.path }).isEqualTo(
                listOf(404 to "services.parcels.slots", 403 to "routes.book.homeRegions"),
            )
            expectThat(result.statusCode).isEqualTo(2)
        }

        @Test
        fun `when it is too large, then the command ends with 2`() {
            val result = check(DOCUMENT.padEnd(1_100_000))
            expectThat(result.output).contains("401")
            expectThat(result.statusCode).isEqualTo(2)
        }
    }

    /** Guards against documents that shut out a customer unnoticed, and against keys in the output of the command. */
    @Nested
    inner class `Given a document of the users' platform` {
        private fun platformDocument(vararg tenants: String) =
            PLATFORM_DOCUMENT.replace("TENANTS", tenants.joinToString())

        private fun checkTenants(vararg tenants: String, options: String? = null): CliktCommandTestResult {
            val result = check(platformDocument(*tenants), options = options)
            expectThat(result.output).not().contains("secret")
            return result
        }

        @Test
        fun `when nothing is at fault, then the command ends with 0`() {
            val result = checkTenants(ACME)
            expectThat(result.output).isEqualTo("version 7 may come into force: 0 errors, 0 warnings\n")
            expectThat(result.statusCode).isEqualTo(0)
        }

        @Test
        fun `when a key is in two workspaces, then both are named and it ends with 2`() {
            val other = "{\"name\": \"other\", \"api_keys\": [\"secret-2\", \"secret-3\"]}"
            val result = checkTenants(ACME, other)
            for (name in listOf("acme", "other")) {
                expectThat(result.output)
                    .contains(Regex("412 .*tenant $name +1 api_keys refused with 401: another tenant lists them too"))
            }
            expectThat(result.output).contains("version 7 comes into force, but not as written: 2 errors")
            expectThat(result.statusCode).isEqualTo(2)
        }

        @Test
        fun `when a rate is negative, then the workspace is left out, and with a negative burst it has none`() {
            expectThat(checkTenants(ACME.replace("50", "-50")).output)
                .contains("tenant acme")
                .contains("left out, its keys are refused with 401: rate_per_s is not a number from 0")
            expectThat(checkTenants(ACME.replace("20", "-20")).output)
                .contains("tenant acme")
                .contains("burst is not a number from 0: 0 is used")
        }

        @Test
        fun `when a name occurs twice, then both entries are left out`() {
            val result = checkTenants(ACME, ACME.replace("secret", "secret-more"))
            expectThat(result.output)
                .contains("tenant acme")
                .contains("left out, its keys are refused with 401: the name occurs more than once")
            expectThat(result.statusCode).isEqualTo(2)
        }

        @Test
        fun `when more entries are at fault than daemons log, then all are named`() {
            val withoutRate = ACME.replace("50", "-50")
            val tenants = List(30) { withoutRate.replace("acme", "t$it").replace("secret", "secret-$it") }
            val result = checkTenants(*tenants.toTypedArray(), options = "--json")
            val report = OUTPUT_JSON.decodeFromString(CheckReport.serializer(), result.stdout)
            expectThat(report.findings.map { it.path }).isEqualTo(List(30) { "tenant t$it" })
            expectThat(report.refused).isEqualTo(false)
        }

        @Test
        fun `when a key stands in place of a name or a number, then it is not printed`() {
            checkTenants(ACME.replace("acme", "secret-1").replace("50", "\"secret-1\""))
            checkTenants(ACME.replace("\"acme\"", "[\"secret-1\"]"))
            checkTenants("{\"secret-1\": [\"secret-2\"]}", "[\"secret-1\"]", "\"secret-1\"")
        }

        @Test
        fun `when it can't be read, then it has one error without a key and ends with 2`() {
            for (cut in listOf("\"name\"", "\"api_keys\"", "\"secret-1\"", ", \"secret-2\"")) {
                val result = check(platformDocument(ACME).replace(cut, cut.drop(1)))
                expectThat(result.output).contains("400").contains("not JSON").contains("is refused: 1 errors")
                expectThat(result.output).not().contains("secret")
                expectThat(result.statusCode).isEqualTo(2)
            }
        }
    }

    @Nested
    inner class `Given settings of a daemon` {
        @Test
        fun `when they are valid, then the command names the host and ends with 0`() {
            val result = checkSettings(SETTINGS)
            expectThat(result.output).contains("host-1")
            expectThat(result.statusCode).isEqualTo(0)
        }

        @Test
        fun `when a time has no unit, then the field is named and it ends with 2`() {
            val result = checkSettings(SETTINGS.replace("\"6s\"", "\"6\""))
            expectThat(result.output).contains("602").contains("stopLimit")
            expectThat(result.statusCode).isEqualTo(2)
        }

        @Test
        fun `when a field is missing, then it is named and it ends with 2`() {
            val result = checkSettings(SETTINGS.replace("\"peerPort\": 7620,", ""))
            expectThat(result.output).contains("600").contains("peerPort")
            expectThat(result.statusCode).isEqualTo(2)
        }

        @Test
        fun `when a host list is given too, then that is a usage error`() {
            val file = directory.resolve("settings.json").also { it.writeText(SETTINGS) }
            val result = kingcuptideCommand().test(listOf("check", "--settings", "$file", "--hosts", "$file"))
            expectThat(result.statusCode).isEqualTo(1)
        }
    }

    @Nested
    inner class `Given no document` {
        @Test
        fun `when a missing file is checked, then it ends with 1`() {
            val result = kingcuptideCommand().test(listOf("check", directory.resolve("none.json").toString()))
            expectThat(result.statusCode).isEqualTo(1)
        }
    }

    private fun checkSettings(text: String): CliktCommandTestResult {
        val file = directory.resolve("settings.json").also { it.writeText(text) }
        return kingcuptideCommand().test(listOf("check", "--settings", "$file"))
    }

    private fun check(document: String, hosts: String? = null, options: String? = null): CliktCommandTestResult {
        val file = directory.resolve("document.json").also { it.writeText(document) }
        val hostsFile = hosts?.let { text -> directory.resolve("hosts.json").also { it.writeText(text) } }
        val hostsOption = hostsFile?.let { listOf("--hosts", "$it") }.orEmpty()
        return kingcuptideCommand().test(listOf("check", "$file") + hostsOption + listOfNotNull(options))
    }

    private companion object {
        const val SETTINGS =
            """
            // as filled in from the template
            {"host": "host-1", "ip": "127.0.0.1", "failureDomain": "a", "region": "r",
             "regionByFailureDomain": {"a": "r"}, "service": "s", "targetAddress": "127.0.0.1:1",
             "callerAddress": "127.0.0.1:2", "readinessAddress": "127.0.0.1:3", "peerPort": 7620,
             "sourceAddress": "127.0.0.1:4", "stopLimit": "6s", "coldRateFactor": 1.5, "coldSlack": 5,
             "retryRatio": 0.2, "extraRetries": 5, "retryWindow": "10s"}
            """

        const val ACME =
            "{\"name\": \"acme\", \"api_keys\": [\"secret-1\", \"secret-2\"], \"rate_per_s\": 50, \"burst\": 20}"

        const val PLATFORM_DOCUMENT =
            """
            {"version": "r7", "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout": "3s",
              "idle_timeout": "15s"},
             "listeners": [{"host": "h", "rules": [{"name": "r1", "kind": "safe", "target_latency": "1s", "priority": 1,
              "match": {"prefix": "/a/"}, "action": {"service": "s", "timeout": "1s", "max_attempts": 2}}]}],
             "clusters": [{"name": "s", "health_check_path": "/health", "cold_start": "1s", "cold_per_s": 9.0}],
             "tenants": [TENANTS]}
            """

        val DOCUMENT =
            """
            {
              "version": 3,
              "failureDomains": {"n1": {"region": "north"}},
              "services": {"parcels": {"slots": 10, "maxConnections": 100}},
              "routes": {"book": {"service": "parcels", "pathPrefix": "/book", "homeRegions": ["north"]}}
            }
            """.trimIndent()
    }
}
