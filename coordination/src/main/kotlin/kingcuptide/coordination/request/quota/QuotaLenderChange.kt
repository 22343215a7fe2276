package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.HostId

/** A host gets its tokens from [after] in place of [before]; null stands for its own buckets, as root lender. */
public data class QuotaLenderChange(
    val before: HostId?,
    val after: HostId?,
    val reason: Reason,
) {
    /** Why the lender has changed. */
    public enum class Reason(
        public val label: String,
    ) {
        STARTED("started"),
        GONE("gone"),
        SILENT("silent"),
        LEAVING("leaving"),
        ROLE("role"),
        BETTER("better"),
    }
}
