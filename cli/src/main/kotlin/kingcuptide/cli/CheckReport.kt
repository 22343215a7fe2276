package kingcuptide.cli

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.ConfigDocument
import kingcuptide.coordination.version.DocumentFault
import kingcuptide.coordination.version.Severity
import kingcuptide.coordination.version.documentWarnings
import kingcuptide.coordination.version.findDocumentFaults
import kingcuptide.coordination.version.readDocument
import kingcuptide.coordination.version.readHostList
import kingcuptide.coordination.version.validateAgainstHosts
import kingcuptide.coordination.version.validateHostList
import kingcuptide.platform.checkConfiguration
import kingcuptide.platform.isConfiguration
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

/**
 * Findings of `check` in the document, and in the host list if one was given; [version] is null if unreadable.
 *
 * @property refused whether daemons refuse the document as a whole
 */
@Serializable
internal data class CheckReport(
    val version: Long?,
    val refused: Boolean,
    val errors: Int,
    val warnings: Int,
    val findings: List<Finding>,
)

/** Validates the text of a document, and of a host list if one is given. */
internal fun checkTexts(documentText: String, hostsText: String?): CheckReport {
    if (isConfiguration(documentText)) return checkPlatformText(documentText)
    val document = readDocument(documentText).get()
    val documentFaults = findDocumentFaults(documentText) + document?.let { documentWarnings(it) }.orEmpty()
    val hostFaults = hostsText?.let { checkHosts(it, document) }.orEmpty()
    val findings =
        documentFaults.map { it.toFinding(CheckedFile.DOCUMENT) } + hostFaults.map { it.toFinding(CheckedFile.HOSTS) }
    return reportOf(document?.version, findings.any { it.isDocumentError }, findings)
}

/** Daemons of the users' platform leave out faulty entries and go on with the others. */
private fun checkPlatformText(text: String): CheckReport {
    val check = checkConfiguration(text)
    val refusal = check.refusal?.let { DocumentFault(ResultCode.DOCUMENT_UNREADABLE, "", it) }
    val faults = check.faults.map { DocumentFault(ResultCode.DOCUMENT_ENTRY_FAULTY, it.entry, it.reason) }
    val findings = (listOfNotNull(refusal) + faults).map { it.toFinding(CheckedFile.DOCUMENT) }
    return reportOf(check.version, refusal != null, findings)
}

private fun reportOf(version: Long?, isRefused: Boolean, findings: List<Finding>) = CheckReport(
    version = version,
    refused = isRefused,
    errors = findings.count { it.severity == Severity.ERROR },
    warnings = findings.count { it.severity == Severity.WARNING },
    findings = findings,
)

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
    val verdict = when {
        report.refused -> "is refused"
        report.findings.any { it.isDocumentError } -> "comes into force, but not as written"
        else -> "may come into force"
    }
    val version = report.version ?: "-"
    val summary = "version $version $verdict: ${report.errors} errors, ${report.warnings} warnings"
    return listOf(findings, summary).filter { it.isNotEmpty() }.joinToString("\n\n")
}

private fun checkHosts(text: String, document: ConfigDocument?): List<DocumentFault> {
    val read = readHostList(text)
    val hostList = read.get() ?: return read.getError().orEmpty()
    return validateHostList(hostList) + document?.let { validateAgainstHosts(it, hostList) }.orEmpty()
}

private val Finding.isDocumentError: Boolean
    get() = severity == Severity.ERROR && file == CheckedFile.DOCUMENT

private fun DocumentFault.toFinding(file: CheckedFile): Finding =
    Finding(file, severity, code.number, code.name, path, reason)
