package kingcuptide.cli

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import io.ktor.http.HttpStatusCode
import kingcuptide.coordination.process.CandidateStateReport
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ExplainReport
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.process.StatusReport
import kingcuptide.coordination.process.toReportedCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration

class DaemonCommandsTest {
    @Nested
    inner class `Given a daemon that reports its status` {
        @Test
        fun `when status is requested, then counts and laggards are shown`() {
            val result = run(listOf("status"), sampleStatus(newer = 1, unreachable = 1).toReply())
            expectThat(result.statusCode).isEqualTo(0)
            expectThat(result.stdout)
                .contains("version 8 is in force on 1 of 3 hosts")
                .contains("late-0  n1              7        1200 ms")
                .contains("unreachable: 1, among them gone-0")
        }

        @Test
        fun `when JSON is requested, then the output is the report`() {
            val status = sampleStatus(newer = 2)
            val result = run(listOf("status", "--json"), status.toReply())
            expectThat(OUTPUT_JSON.decodeFromString(StatusReport.serializer(), result.stdout)).isEqualTo(status)
        }

        @Test
        fun `when the report has fields of a later release, then it is still parsed`() {
            val reply = Reply(sampleStatus(newer = 3).toReply().body.replaceFirst("{", "{\"later\": 1, "))
            expectThat(run(listOf("status"), reply).statusCode).isEqualTo(0)
        }
    }

    @Nested
    inner class `Given the wait command` {
        @Test
        fun `when the version comes into force on all hosts, then it ends with 0`() {
            val replies = listOf(0, 1, 3).map { sampleStatus(it).toReply() }.toTypedArray()
            val result = run(listOf("wait", "--version", "8"), *replies)
            expectThat(result.stdout).contains("version 8 or later is in force on 3 of 3 hosts")
            expectThat(result.statusCode).isEqualTo(0)
        }

        @Test
        fun `when only later versions are in force, then it ends with 0`() {
            expectThat(
                run(listOf("wait", "--version", "7"), sampleStatus(newer = 1).toReply()).statusCode,
            ).isEqualTo(0)
        }

        @Test
        fun `when a host stays behind, then it times out with 4`() {
            val result = run(listOf("wait", "--version", "8", "--timeout", "3s"), sampleStatus(newer = 2).toReply())
            expectThat(result.stderr).contains("code=606")
            expectThat(result.statusCode).isEqualTo(4)
        }

        @Test
        fun `when a host is unreachable, then it ends only with the option to ignore it`() {
            val reply = sampleStatus(newer = 2, unreachable = 1).toReply()
            val wait = listOf("wait", "--version", "8", "--timeout", "1s")
            expectThat(run(wait, reply).statusCode).isEqualTo(4)
            expectThat(run(wait + "--ignore-unreachable", reply).statusCode).isEqualTo(0)
        }

        @Test
        fun `when all hosts are unreachable, then it times out in spite of the option`() {
            val reply = sampleStatus(newer = 0, unreachable = 3).toReply()
            val wait = listOf("wait", "--version", "8", "--timeout", "1s", "--ignore-unreachable")
            expectThat(run(wait, reply).statusCode).isEqualTo(4)
        }

        @Test
        fun `when the daemon fails temporarily, then it continues polling`() {
            val failure = Reply("later\n", HttpStatusCode.ServiceUnavailable)
            val result =
                run(listOf("wait", "--version", "8"), sampleStatus(0).toReply(), failure, sampleStatus(3).toReply())
            expectThat(result.statusCode).isEqualTo(0)
        }

        @Test
        fun `when the timeout is not a duration, then it ends with 1`() {
            val result = run(listOf("wait", "--version", "8", "--timeout", "soon"), sampleStatus(3).toReply())
            expectThat(result.statusCode).isEqualTo(1)
        }
    }

    @Nested
    inner class `Given the explain command` {
        @Test
        fun `when a host could run the request, then it ends with 0`() {
            FakeDaemon(explanation(null).toReply()).use { daemon ->
                val arguments =
                    listOf("explain", "POST", "/book it?x=1&y", "--workspace", "farm", "--daemon", daemon.url)
                val result = kingcuptideCommand().test(arguments)
                expectThat(result.stdout)
                    .contains("route book to service parcels")
                    .contains("runs at most once: yes; home regions: north")
                    .contains("a     n1              north   alive  yes")
                    .contains("b     n1              north   alive  no: 204 DRAINING")
                expectThat(result.statusCode).isEqualTo(0)
                expectThat(daemon.requests.toList())
                    .isEqualTo(listOf("/v1/explain?method=POST&path=%2Fbook+it%3Fx%3D1%26y&workspace=farm"))
            }
        }

        @Test
        fun `when no host could run the request, then it ends with 2`() {
            val reply = explanation(ResultCode.FAILURE_DOMAIN_TAKEN_OUT).toReply()
            expectThat(run(listOf("explain", "GET", "/book"), reply).statusCode).isEqualTo(2)
        }

        @Test
        fun `when an option is mistyped, then it ends with 1`() {
            val result = run(listOf("explain", "GET", "/book", "--jsn"), explanation(null).toReply())
            expectThat(result.statusCode).isEqualTo(1)
        }

        private fun explanation(first: ResultCode?): ExplainReport = ExplainReport(
            answeredBy = HostId("a"),
            version = 8,
            refusal = null,
            route = RouteId("book"),
            service = ServiceId("parcels"),
            idempotent = false,
            homeRegions = listOf(RegionId("north")),
            candidates = listOf(candidate("a", first), candidate("b", ResultCode.DRAINING)),
        )

        private fun candidate(host: String, code: ResultCode?) = CandidateStateReport(
            HostId(host),
            FailureDomainId("n1"),
            RegionId("north"),
            Liveness.ALIVE,
            code?.toReportedCode(),
        )

        private fun ExplainReport.toReply() = Reply(OUTPUT_JSON.encodeToString(ExplainReport.serializer(), this))
    }

    @Nested
    inner class `Given a daemon that gives no usable reply` {
        @Test
        fun `when nothing listens, then the error has its code and it ends with 3`() {
            val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            for (command in listOf(listOf("status"), listOf("wait", "--version", "1"), listOf("explain", "GET", "/"))) {
                val result = kingcuptideCommand().test(command + listOf("--daemon", "http://127.0.0.1:$port"))
                expectThat(result.stderr).contains("code=605 name=DAEMON_UNREACHABLE daemon=http://127.0.0.1:$port")
                expectThat(result.stderr.lines().size).isEqualTo(2)
                expectThat(result.statusCode).isEqualTo(3)
            }
        }

        @Test
        fun `when the address is invalid, then the error has its code and it ends with 3`() {
            for (address in listOf("127.0.0.1", "http://", "nonsense://x", "http://127.0.0.1:99999")) {
                val result = kingcuptideCommand().test(listOf("status", "--daemon", address))
                expectThat(result.stderr).contains("code=605")
                expectThat(result.statusCode).isEqualTo(3)
            }
        }

        @Test
        fun `when the reply is not a report, then the error has its code and it ends with 3`() {
            val replies = listOf(Reply("ok"), Reply("{}"), Reply("", HttpStatusCode.NotFound))
            for (reply in replies) {
                val result = run(listOf("status"), reply)
                expectThat(result.stderr).contains("code=607")
                expectThat(result.statusCode).isEqualTo(3)
            }
        }

        @Test
        fun `when it refuses temporarily, then the error has its code and it ends with 3`() {
            val result = run(listOf("status"), Reply("too many queries\n", HttpStatusCode.ServiceUnavailable))
            expectThat(result.stderr).contains("code=508")
            expectThat(result.statusCode).isEqualTo(3)
        }
    }

    private fun run(command: List<String>, vararg replies: Reply): CliktCommandTestResult {
        val clock = ManualClock()
        return FakeDaemon(*replies).use { daemon ->
            kingcuptideCommand(clock) { clock.time += it }.test(command + listOf("--daemon", daemon.url))
        }
    }

    private class ManualClock : Clock {
        var time: Duration = Duration.ZERO

        override fun now(): Duration = time
    }
}
