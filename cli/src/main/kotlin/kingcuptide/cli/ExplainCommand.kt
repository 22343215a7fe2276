package kingcuptide.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.michaelbull.result.getOrElse
import kingcuptide.coordination.process.ExplainReport
import java.io.File
import java.io.IOException
import java.io.InputStream

/** `kingcuptide explain`: which hosts could run a request now, or why a logged request failed. */
internal class ExplainCommand(
    private val standardInput: InputStream,
) : DaemonCommand("explain") {
    private val methodOrRequestId by argument("METHOD|ID", help = "such as GET, or the id of a request that failed")
    private val pathOrLogFiles by argument("PATH|FILE", help = "such as /parcels/7, or the logs of daemons").multiple()
    private val workspace by option("--workspace", help = "the workspace of the request")

    /** A path with a query would be parsed as an option. A mistyped option still fails, as an excess argument. */
    override val treatUnknownOptionsAsArgs: Boolean = true

    override fun help(context: Context): String =
        "With METHOD and PATH: shows which hosts could take a request that came in at the daemon now, and why the " +
            "others could not. With ID and log files, or logs on standard input: shows why that request failed."

    override fun run() = if (methodOrRequestId in METHODS) super.run() else explainFromLogs()

    override suspend fun query(client: DaemonClient) {
        val path = pathOrLogFiles.singleOrNull() ?: throw UsageError("exactly one PATH must follow the method")
        val report = client.explain(methodOrRequestId, path, workspace).getOrElse { fail(it) }
        echo(if (json) OUTPUT_JSON.encodeToString(ExplainReport.serializer(), report) else explainText(report))
        val isRefused = report.refusal != null || report.candidates.none { it.refusal == null }
        if (isRefused) exitWith(ExitCode.REFUSED)
    }

    private fun explainFromLogs() {
        val lines = if (pathOrLogFiles.isEmpty()) readLog(standardInput, "-") else pathOrLogFiles.flatMap(::readFile)
        val story = buildRequestStory(methodOrRequestId, lines)
        if (story == null) {
            echo("no log line has request $methodOrRequestId: it succeeded, or its log was not given", err = true)
            exitWith(ExitCode.NOT_FOUND)
        }
        echo(if (json) OUTPUT_JSON.encodeToString(RequestStory.serializer(), story) else storyText(story))
    }

    private fun readFile(name: String): List<LogLine> =
        try {
            File(name).inputStream().use { readLog(it, File(name).name) }
        } catch (exception: IOException) {
            throw UsageError("$name can't be read: ${exception.message}")
        }

    /** Parses the events of a log; bytes that are not valid UTF-8 are replaced. */
    private fun readLog(input: InputStream, name: String): List<LogLine> =
        input.bufferedReader().lineSequence().mapNotNull { parseLogLine(it, name) }.toList()

    private companion object {
        val METHODS = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
    }
}
