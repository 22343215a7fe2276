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

/** The input file that a finding refers to. */
@Serializable
internal enum class CheckedFile {
    DOCUMENT,
    HOSTS,
}

/** One fault or warning with the number and name of its result code. */
@Serializable
internal data class Finding(
    val file: CheckedFile,
    val severity: Severity,
    val code: Int,
    val name: String,
    val path: String,
    val reason: String,
)

/** Findings of `check` in the document, and in the host list if one was given; [version] is null if unreadable. */
@Serializable
internal data class CheckReport(
    val version: Long?,
    val errors: Int,
    val warnings: Int,
    val findings: List<Finding>,
)

/** Validates the text of a document, and of a host list if one is given. */
internal fun checkTexts(documentText: String, hostsText: String?): CheckReport {
    val document = readDocument(documentText).get()
    val documentFaults = findDocumentFaults(documentText) + document?.let { documentWarnings(it) }.orEmpty()
    val hostFaults = hostsText?.let { checkHosts(it, document) }.orEmpty()
    val findings =
        documentFaults.map { it.toFinding(CheckedFile.DOCUMENT) } + hostFaults.map { it.toFinding(CheckedFile.HOSTS) }
    return CheckReport(
        version = document?.version,
        errors = findings.count { it.severity == Severity.ERROR },
        warnings = findings.count { it.severity == Severity.WARNING },
        findings = findings,
    )
}

/** Renders [report] as plain text. */
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
