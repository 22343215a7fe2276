package kingcuptide.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onFailure
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.StatusReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** `kingcuptide wait`: polls a daemon until a version is in force on all hosts. */
internal class WaitCommand(
    private val clock: Clock,
    private val pause: suspend (Duration) -> Unit,
) : DaemonCommand("wait") {
    private val version by option("--version", help = "the version to wait for").long().restrictTo(min = 1).required()

    private val timeout by option("--timeout", metavar = "DURATION", help = "such as 30s or 2m; 30s if not given")
        .convert { Duration.parseOrNull(it)?.takeIf { limit -> limit.isPositive() } ?: fail("$it is not a duration") }
        .default(30.seconds)

    private val ignoreUnreachable by option(
        "--ignore-unreachable",
        help = "do not wait for hosts that are listed but do not answer",
    ).flag()

    override fun help(context: Context): String = "Waits until a version, or a later one, is in force everywhere."

    override suspend fun query(client: DaemonClient) {
        val deadline = clock.now() + timeout
        var status = client.status().onFailure { fail(it) }
        while (!isDone(status)) {
            val remaining = deadline - clock.now()
            if (!remaining.isPositive()) timeOut(status)
            pause(minOf(POLL_INTERVAL, remaining))
            status = client.status()
        }
        status.get()?.let { print(it) }
    }

    /** A failed query counts as not yet in force: a daemon that has replied before may be restarting. */
    private fun isDone(status: Result<StatusReport, DaemonFailure>): Boolean {
        val report = status.get() ?: return false
        val inForce = report.hostsWithAtLeast(version)
        val expected = if (ignoreUnreachable) report.hostsTotal - report.unreachableTotal else report.hostsTotal
        return inForce > 0 && inForce >= expected
    }

    private fun timeOut(status: Result<StatusReport, DaemonFailure>): Nothing {
        status.get()?.let { print(it) }
        val failure = status.getError()?.let { "; the daemon last failed with code ${it.code.number}: ${it.reason}" }
        val code = ResultCode.WAIT_TIMED_OUT
        echo(
            "code=${code.number} name=$code reason=\"not in force everywhere after $timeout${failure.orEmpty()}\"",
            err = true,
        )
        exitWith(ExitCode.TIMED_OUT)
    }

    private fun print(report: StatusReport) {
        echo(if (json) OUTPUT_JSON.encodeToString(StatusReport.serializer(), report) else progressText(report, version))
    }

    private companion object {
        val POLL_INTERVAL = 250.milliseconds
    }
}
