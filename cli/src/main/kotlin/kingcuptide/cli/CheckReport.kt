package kingcuptide.cli

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kingcuptide.coordination.version.ConfigDocument
import kingcuptide.coordination.version.DocumentFault
import kingcuptide.coordination.version.Severity
import kingcuptide.coordination.version.documentWarnings
import kingcuptide.coordination.version.findDocumentFaults
import kingcuptide.coordination.version.readDocument
import kingcuptide.coordination.version.readHostList
import kingcuptide.coordination.version.validateAgainstHosts
import kingcuptide.coordination.version.validateHostList
import kotlinx.serialization.Serializable

/** Which of the two files a finding is about. */
@Serializable
internal enum class CheckedFile {
    DOCUMENT,
    HOSTS,
}

/** One finding with its result code by number and name. */
@Serializable
internal data class Finding(
    val file: CheckedFile,
    val severity: Severity,
    val code: Int,
    val name: String,
    val path: String,
    val reason: String,
)

/** What `check` has found in the document, and in the host list if there was one. */
@Serializable
internal data class CheckReport(
    val version: Long?,
    val errors: Int,
    val warnings: Int,
    val findings: List<Finding>,
)

/** Checks the text of a document, and the text of a host list if there is one. */
internal fun checkTexts(documentText: String, hostsText: String?): CheckReport {
    val document = readDocument(documentText).get()
    val ofDocument = findDocumentFaults(documentText) + document?.let { documentWarnings(it) }.orEmpty()
    val ofHosts = hostsText?.let { checkHosts(it, document) }.orEmpty()
    val findings =
        ofDocument.map { it.toFinding(CheckedFile.DOCUMENT) } + ofHosts.map { it.toFinding(CheckedFile.HOSTS) }
    return CheckReport(
        version = document?.version,
        errors = findings.count { it.severity == Severity.ERROR },
        warnings = findings.count { it.severity == Severity.WARNING },
        findings = findings,
    )
}

/** Renders [report] for people. */
internal fun checkText(report: CheckReport): String {
    val rows =
        report.findings.map { finding ->
            val severity = finding.severity.name.lowercase()
            listOf(
                severity,
                "${finding.code}",
                finding.file.name.lowercase(),
                finding.path.ifEmpty {
                    "-"
                },
                finding.reason,
            )
        }
    val findings = table(listOf("SEVERITY", "CODE", "FILE", "PATH", "REASON"), rows)
    val isRefused = report.findings.any { it.severity == Severity.ERROR && it.file == CheckedFile.DOCUMENT }
    val verdict = if (isRefused) "is refused" else "may come into force"
    val version = report.version ?: "-"
    val summary = "version $version $verdict: ${report.errors} errors, ${report.warnings} warnings"
    return listOf(findings, summary).filter { it.isNotEmpty() }.joinToString("\n\n")
}

private fun checkHosts(text: String, document: ConfigDocument?): List<DocumentFault> {
    val read = readHostList(text)
    val hostList = read.get() ?: return read.getError().orEmpty()
    return validateHostList(hostList) + document?.let { validateAgainstHosts(it, hostList) }.orEmpty()
}

private fun DocumentFault.toFinding(file: CheckedFile): Finding =
    Finding(file, severity, code.number, code.name, path, reason)
