package kingcuptide.coordination.version

import kingcuptide.coordination.process.ResultCode
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a finding prevents a document from being put in force. */
@Serializable
public enum class Severity {
    /** The document is refused as a whole. */
    @SerialName("error")
    ERROR,

    /** The document may be put in force; the operator should review it. */
    @SerialName("warning")
    WARNING,
}

/**
 * One finding about a document or a host list.
 *
 * @property code kind of fault
 * @property path location, such as `routes.book-visit.service`; empty for the whole text
 * @property reason human-readable description
 */
@Serializable
public data class DocumentFault(
    val code: ResultCode,
    val path: String,
    val reason: String,
    val severity: Severity = Severity.ERROR,
)
