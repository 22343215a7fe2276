package kingcuptide.daemon.process

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.RejectedVersion
import kotlinx.serialization.Serializable

/** A document that this daemon rejected, as listed by `/v1/rejected`. */
@Serializable
data class RejectedReport(
    val number: Long,
    val digest: String,
    val faults: List<RejectedFault>,
)

/** One reason why a document was rejected. */
@Serializable
data class RejectedFault(
    val code: ResultCode,
    val number: Int,
    val detail: String,
)

internal fun RejectedVersion.toReport(): RejectedReport =
    RejectedReport(version.number, version.digest.hex, faults.map { RejectedFault(it.code, it.code.number, it.detail) })
