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

internal class ExplainLogsTest {
    @TempDir
    lateinit var directory: Path

    private val entryLog = listOf(
        line("10:00:01.000", "belief", "event=target_leaving target=t-9"),
        line("10:00:09.000", "daemon", "event=peer_closed peer=h2 own=true reason=closed"),
        line("10:00:10.100", "entry", "event=request_repeated request=7 target=t-1 code=300 reason=lost"),
        line(
            "10:00:10.300",
            "entry",
            "event=request_given_up request=7 route=/read/ code=202 status=503 reason=\"refused by t-2\" hops=1 " +
                "target=t-2 target_speed=0.52",
        ),
        line("10:00:10.400", "entry", "event=request_given_up request=8 code=201 status=503 reason=\"no target\""),
        line(
            "10:00:10.500",
            "entry",
            "event=request_refused request=9 code=112 status=401 version=14 path=/read/x route=/read/ " +
                "reason=\"no workspace has the key\" knowledge_age_ms=640",
        ),
        line(
            "10:00:10.600",
            "entry",
            "event=request_refused request=10 code=219 status=429 workspace=acme route=/read/ version=14 left=0 " +
                "retry_after_ms=310 knowledge_age_ms=650",
        ),
        line(
            "10:00:10.700",
            "entry",
            "event=request_cancelled request=11 target=t-1 place=sent reached=0 after_ms=40 " +
                "reason=\"connection ended\"",
        ),
        line(
            "10:00:10.800",
            "entry",
            "event=request_cancelled request=12 target=null place=waiting reached=0 after_ms=0 " +
                "reason=\"connection ended\"",
        ),
        "not an event",
    )
    private val gateLog = listOf(
        line(
            "10:00:10.050",
            "gate",
            "event=target_lost request=7 target=t-1 code=300 reason=\"reset \\\"by\\\" peer\"",
        ),
        line("10:00:10.650", "daemon", "event=event_loop_delayed delay_ms=320 in_flight=3 at_target=2 queued=0"),
        line(
            "10:00:10.695",
            "target",
            "event=response_skipped request=11 arrived=6 reason=other_call status=200 body_bytes=5 complete=true",
        ),
        line("10:00:10.705", "gate", "event=gate_cancelled request=11 target=t-1 place=running ran_ms=35"),
        line("10:00:10.250", "gate", "event=gate_refused request=7 target=t-2 in_flight=4 queued=9 limit=4 cold=false"),
    )

    @Nested
    inner class `Given the logs of both daemons` {
        @Test
        fun `when a refused request is explained, then its lines are in order of time`() {
            val order = explain("7").output.lines().mapNotNull { Regex("target_lost|repeated|gate_r|given").find(it) }
            expectThat(order.map { it.value }).isEqualTo(listOf("target_lost", "repeated", "gate_r", "given"))
        }

        @Test
        fun `when a refused request is explained, then the cause names the load of the gate`() {
            val result = explain("7")
            expectThat(result.output)
                .contains("cause: 202")
                .contains("at t-2: 4 at work, 9 waiting, limit 4")
                .contains("it has not run")
            expectThat(result.statusCode).isEqualTo(0)
        }

        @Test
        fun `when a refused request is explained, then the cause names the speed that was assumed for its target`() {
            expectThat(explain("7").output).contains("target t-2 was assumed to have 0.52 times the mean speed")
        }

        @Test
        fun `when a refused key is explained, then the cause names reason, version and age of knowledge`() {
            expectThat(explain("9").output)
                .contains("cause: 112")
                .contains(
                    "no workspace has the key, on route /read/, by document version 14, confirmed as current 640 ms",
                )
                .contains("it has not run")
        }

        @Test
        fun `when a refusal by quota is explained, then the cause names workspace, version, rest and age`() {
            expectThat(explain("10").output)
                .contains("cause: 219, the workspace had sent more than its quota")
                .contains("quota of workspace acme on route /read/, 0 left at this daemon, ")
                .contains("room for a retry after 310 ms")
                .contains("by document version 14, confirmed as current 650 ms")
                .contains("it has not run")
        }

        @Test
        fun `when a request of a caller that left is explained, then the cause says how long it ran and where`() {
            expectThat(explain("11").output)
                .contains("cause: cancelled after 40 ms, sent to t-1: connection ended")
                .contains("it may have run")
                .contains("event_loop_delayed")
                .contains("gate_cancelled")
            expectThat(explain("12").output)
                .contains("cause: cancelled after 0 ms, waiting at its entry: connection ended")
                .contains("it has not run")
        }

        @Test
        fun `when the request of a skipped response is explained, then the request that it came instead of is named`() {
            expectThat(explain("6").output).contains("response_skipped").contains("request=11 arrived=6")
        }

        @Test
        fun `when the known state changed shortly before, then the change is shown, and an older one is not`() {
            expectThat(explain("7").output).contains("peer_closed").not().contains("target_leaving")
        }

        @Test
        fun `when the known state changed at a daemon that did not log the request, then the change is left out`() {
            val other = line("10:00:10.000", "target", "event=target_down address=/192.0.2.1:1 reason=elsewhere")
            val file = directory.resolve("other.log").also { it.writeText(other) }
            expectThat(explain("7", "$file").output).not().contains("elsewhere")
        }

        @Test
        fun `when JSON is requested, then the output can be parsed`() {
            val story = OUTPUT_JSON.decodeFromString(RequestStory.serializer(), explain("7", "--json").stdout)
            expectThat(story.code).isEqualTo(202)
            expectThat(story.steps.first().details).contains("reason=reset \"by\" peer")
        }
    }

    @Nested
    inner class `Given incomplete logs` {
        @Test
        fun `when no line names the request, then the command ends with 5`() {
            expectThat(explain("none").statusCode).isEqualTo(5)
        }

        @Test
        fun `when a file can't be read, then the command ends with 1 and names it`() {
            val result = kingcuptideCommand().test(listOf("explain", "7", "no-such-file"))
            expectThat(result.output).contains("no-such-file")
            expectThat(result.statusCode).isEqualTo(1)
        }

        @Test
        fun `when the log comes on standard input with a name before each line, then the name is kept`() {
            val text = entryLog.joinToString("\n") { "12.1 host-a: $it" }
            val command = kingcuptideCommand(standardInput = text.byteInputStream())
            expectThat(command.test(listOf("explain", "8")).output).contains("host-a:").contains("cause: 201")
        }
    }

    private fun explain(request: String, vararg more: String): CliktCommandTestResult {
        val first = directory.resolve("entry.log").also { it.writeText(entryLog.joinToString("\n")) }
        val second = directory.resolve("gate.log").also { it.writeText(gateLog.joinToString("\n")) }
        return kingcuptideCommand().test(listOf("explain", request, "$first", "$second", *more))
    }

    private fun line(time: String, source: String, event: String) =
        "ts=2026-01-02T${time}Z level=INFO source=$source $event"
}
