package kingcuptide.cli

import com.github.ajalt.clikt.core.Context
import com.github.michaelbull.result.getOrElse
import kingcuptide.coordination.process.StatusReport

/** `kingcuptide status`: the versions in force in each failure domain, and the hosts behind. */
internal class StatusCommand : DaemonCommand("status") {
    override fun help(context: Context): String = "Shows which version is in force where, and who is behind."

    override suspend fun query(client: DaemonClient) {
        val report = client.status().getOrElse { fail(it) }
        echo(if (json) OUTPUT_JSON.encodeToString(StatusReport.serializer(), report) else statusText(report))
    }
}
