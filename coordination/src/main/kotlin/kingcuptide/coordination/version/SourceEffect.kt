package kingcuptide.coordination.version

import kingcuptide.coordination.process.ResultCode
import kotlin.time.Duration

/** A call to the platform that the daemon has to make. Its outcome is reported with the same [call]. */
public sealed interface SourceEffect {
    /** Number of this call, unique within one run of the daemon. */
    public val call: Long

    /** The resource to read. */
    public val kind: ResourceKind

    /** Read the newest version without waiting. */
    public data class ReadNow(
        override val call: Long,
        override val kind: ResourceKind,
    ) : SourceEffect

    /** Wait at the platform up to [wait] for a version above [afterNumber]; a [wait] of zero only compares numbers. */
    public data class Watch(
        override val call: Long,
        override val kind: ResourceKind,
        val afterNumber: Long,
        val wait: Duration,
    ) : SourceEffect
}

/** Outcome of a [SourceEffect]. */
public sealed interface SourceOutcome {
    /** The source returned [content], which may be older than the content of the daemon. */
    public data class Changed(
        val content: ResourceContent,
    ) : SourceOutcome

    /** The source has no newer version. [number] is the version that it has, or null if it does not report one. */
    public data class Unchanged(
        val number: Long?,
    ) : SourceOutcome

    /** The call failed. */
    public data class Failed(
        val code: ResultCode,
    ) : SourceOutcome
}
