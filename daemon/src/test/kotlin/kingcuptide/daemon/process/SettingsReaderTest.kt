package kingcuptide.daemon.process

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.readHostList
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.readText

class SettingsReaderTest {
    @Nested
    inner class `Given valid settings` {
        @Test
        fun `when they contain comments and trailing commas, then every value is read`() {
            val settings = readSettings(VALID, "a.json").unwrap()
            expectThat(settings.host.value).isEqualTo("a")
            expectThat(settings.platform.callsPerSecondForAll).isEqualTo(1_500)
            expectThat(settings.logLevel).isEqualTo(LogLevel.WARN)
            expectThat(settings.seeds.map { it.host.value }).isEqualTo(listOf("b"))
        }

        @Test
        fun `when the example is read, then its seeds are hosts of the example's list`() {
            val directory = Path.of("..", "examples", "georgia")
            val settings = readSettings(directory.resolve("daemon.json").readText(), "daemon.json").unwrap()
            val hosts = readHostList(directory.resolve("hosts.json").readText()).unwrap().hosts
            val seeds = hosts.map { SeedPeer(it.host, it.ip, it.peerPort, it.failureDomain, it.region) }
            expectThat(seeds).contains(settings.seeds)
            expectThat(hosts.single { it.host == settings.host }) {
                get { ip }.isEqualTo(settings.ip)
                get { peerPort }.isEqualTo(settings.peerPort)
                get { httpPort }.isEqualTo(settings.httpPort)
                get { failureDomain }.isEqualTo(settings.failureDomain)
            }
        }
    }

    @Nested
    inner class `Given unreadable settings` {
        @Test
        fun `when the text cannot be parsed, then the fault names the line`() {
            val broken = VALID.replace("\"httpPort\": 8001", "\"httpPort\" 8001")
            val fault = readSettings(broken, "a.json").getError().orEmpty().single()
            expectThat(fault.code).isEqualTo(ResultCode.SETTINGS_UNREADABLE)
            expectThat(fault.file).isEqualTo("a.json")
            expectThat(fault.path).isEqualTo("line 3")
        }

        @Test
        fun `when keys are unknown, missing or of the wrong type, then a fault names each`() {
            val broken =
                VALID
                    .replace("\"peerPort\": 7001, \"adminPort\"", "\"adminPort\"")
                    .replace("\"drainMs\": 5000", "\"drainSeconds\": 5")
                    .replace("\"joinWaitMs\": 100", "\"joinWaitMs\": \"100ms\"")
                    .replace("\"httpPort\": 8001", "\"httpPort\": 99999999999")
                    .replace("\"logLevel\": \"warn\"", "\"logLevel\": \"loud\"")
            expectThat(faultsOf(broken)).containsExactlyInAnyOrder(
                ResultCode.SETTINGS_MISSING to "peerPort",
                ResultCode.SETTINGS_UNKNOWN_KEY to "drainSeconds",
                ResultCode.SETTINGS_UNREADABLE to "joinWaitMs",
                ResultCode.SETTINGS_VALUE_OUT_OF_RANGE to "httpPort",
                ResultCode.SETTINGS_UNREADABLE to "logLevel",
            )
        }

        @Test
        fun `when a duration has a unit, then the reason names the expected unit`() {
            val broken = VALID.replace("\"drainMs\": 5000", "\"drainMs\": \"5s\"")
            expectThat(readSettings(broken, "a.json").getError().orEmpty().single().reason)
                .isEqualTo("expected a whole number, found \"5s\"; the unit is milliseconds")
        }
    }

    @Nested
    inner class `Given values out of range` {
        @Test
        fun `when they are read, then a fault names each`() {
            val broken =
                VALID
                    .replace("\"ip\": \"10.0.0.1\", \"httpPort\": 8001", "\"ip\": \"0.0.0.0\", \"httpPort\": 0")
                    .replace("\"port\": 9001", "\"port\": 65536")
                    .replace("http://10.0.0.9:8500", "10.0.0.9:8500")
                    .replace("1500", "0")
                    .replace("\"healthPath\": \"/health\"", "\"healthPath\": \"health\"")
                    .replace("\"ip\": \"10.0.0.2\"", "\"ip\": \"b.example.org\"")
                    .replace("\"drainMs\": 5000", "\"drainMs\": -1")
            expectThat(faultsOf(broken)).containsExactlyInAnyOrder(
                outOfRange("ip"),
                outOfRange("httpPort"),
                outOfRange("target.port"),
                outOfRange("target.healthPath"),
                outOfRange("platform.url"),
                outOfRange("platform.callsPerSecondForAll"),
                outOfRange("drainMs"),
                outOfRange("seeds[0].ip"),
            )
        }

        private fun outOfRange(path: String) = ResultCode.SETTINGS_VALUE_OUT_OF_RANGE to path
    }

    @Nested
    inner class `Given conflicting values` {
        @Test
        fun `when ports collide, then a fault names each`() {
            val broken =
                VALID
                    .replace("\"adminPort\": 9901", "\"adminPort\": 8001")
                    .replace("\"port\": 9001", "\"port\": 7001")
            expectThat(faultsOf(broken)).containsExactlyInAnyOrder(conflict("adminPort"), conflict("target.port"))
        }

        @Test
        fun `when seeds conflict with the daemon or each other, then a fault names each`() {
            val seeds =
                """
                {"host": "a", "ip": "10.0.0.5", "peerPort": 1, "failureDomain": "f2", "region": "north"},
                {"host": "c", "ip": "10.0.0.1", "peerPort": 7001, "failureDomain": "f2", "region": "north"},
                {"host": "d", "ip": "10.0.0.6", "peerPort": 1, "failureDomain": "f1", "region": "south"},
                """
            expectThat(faultsOf(VALID.replace("\"seeds\": [", "\"seeds\": [$seeds"))).containsExactlyInAnyOrder(
                conflict("seeds[0].host"),
                conflict("seeds[1].ip"),
                conflict("seeds[2].region"),
            )
        }

        private fun conflict(path: String) = ResultCode.SETTINGS_CONFLICT to path
    }

    private fun faultsOf(text: String): List<Pair<ResultCode, String>> =
        readSettings(text, "a.json").getError().orEmpty().map { it.code to it.path }

    private companion object {
        val VALID =
            """
            { // who this is
              "host": "a", "peerPort": 7001, "adminPort": 9901,
              "ip": "10.0.0.1", "httpPort": 8001,
              "failureDomain": "f1", "region": "north", "service": "parcels",
              /* the target beside it */
              "target": {"ip": "10.0.0.1", "port": 9001, "healthPath": "/health"},
              "platform": {"url": "http://10.0.0.9:8500", "region": "north", "callsPerSecondForAll": 1500},
              "joinWaitMs": 100, "drainMs": 5000, "logLevel": "warn",
              "seeds": [
                {"host": "b", "ip": "10.0.0.2", "peerPort": 7001, "failureDomain": "f2", "region": "north"},
              ],
            }
            """.trimIndent()
    }
}
