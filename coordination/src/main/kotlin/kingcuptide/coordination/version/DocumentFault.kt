package kingcuptide.coordination.version

import kingcuptide.coordination.process.ResultCode
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a finding keeps a document from coming into force. */
@Serializable
public enum class Severity {
    /** The document is refused as a whole. */
    @SerialName("error")
    ERROR,

    /** The document may come into force; the operator should look at it. */
    @SerialName("warning")
    WARNING,
}

/**
 * One finding about a document or a host list.
 *
 * @property code what kind of fault it is
 * @property path where it is, such as `routes.book-visit.service`; empty for the text as a whole
 * @property reason what is wrong there, for people
 */
@Serializable
public data class DocumentFault(
    val code: ResultCode,
    val path: String,
    val reason: String,
    val severity: Severity = Severity.ERROR,
)
