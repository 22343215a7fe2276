package kingcuptide.cli

import kingcuptide.coordination.process.CandidateStateReport
import kingcuptide.coordination.process.ExplainReport
import kingcuptide.coordination.process.ReportedCode

/** Renders [report] as plain text. */
internal fun explainText(report: ExplainReport): String =
    listOf(routeText(report), candidateTable(report)).filter { it.isNotEmpty() }.joinToString("\n\n")

private fun routeText(report: ExplainReport): String {
    val lines = mutableListOf("answered by ${report.answeredBy} under version ${report.version ?: "-"}")
    report.refusal?.let { lines += "refused at once: ${codeText(it)}" }
    if (report.route == null) return lines.joinToString("\n")
    val home = report.homeRegions?.joinToString(" ") { it.value }?.ifEmpty { "none" } ?: "anywhere"
    lines += "route ${report.route} to service ${report.service}"
    lines += "runs at most once: ${if (report.idempotent == false) "yes" else "no"}; home regions: $home"
    return lines.joinToString("\n")
}

private fun candidateTable(report: ExplainReport): String =
    table(listOf("HOST", "FAILURE DOMAIN", "REGION", "STATE", "COULD TAKE IT"), report.candidates.map(::candidateRow))

private fun candidateRow(candidate: CandidateStateReport): List<String> = listOf(
    candidate.host.value,
    candidate.failureDomain.value,
    candidate.region.value,
    candidate.liveness.name.lowercase(),
    candidate.refusal?.let { "no: ${codeText(it)}" } ?: "yes",
)

private fun codeText(code: ReportedCode): String = "${code.number} ${code.name}"
