package kingcuptide.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.michaelbull.result.getOrElse
import kingcuptide.coordination.process.ExplainReport

/** `kingcuptide explain`. */
internal class ExplainCommand : DaemonCommand("explain") {
    private val method by argument(help = "such as GET")
    private val path by argument(help = "such as /parcels/7")
    private val workspace by option("--workspace", help = "the workspace of the request")

    /** A path with a query would be taken for an option. A mistyped option still fails, as one argument too many. */
    override val treatUnknownOptionsAsArgs: Boolean = true

    override fun help(context: Context): String =
        "Shows which hosts could take a request that came in at the daemon now, and why the others could not."

    override suspend fun ask(client: DaemonClient) {
        val report = client.explain(method, path, workspace).getOrElse { fail(it) }
        echo(if (json) OUTPUT_JSON.encodeToString(ExplainReport.serializer(), report) else explainText(report))
        val isRefused = report.refusal != null || report.candidates.none { it.refusal == null }
        if (isRefused) exitWith(ExitCode.REFUSED)
    }
}
