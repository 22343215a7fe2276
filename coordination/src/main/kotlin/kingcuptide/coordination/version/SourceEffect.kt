package kingcuptide.coordination.version

import kingcuptide.coordination.process.ResultCode
import kotlin.time.Duration

/** A call to the platform that the daemon shall make. [call] is named again by the outcome. */
public sealed interface SourceEffect {
    /** Number of this call; never used twice in one run of the daemon. */
    public val call: Long

    /** The resource to read. */
    public val kind: ResourceKind

    /** Read the newest version at once. */
    public data class ReadNow(
        override val call: Long,
        override val kind: ResourceKind,
    ) : SourceEffect

    /** Wait at the platform up to [wait] for a version above [afterNumber]; a [wait] of zero only compares. */
    public data class Watch(
        override val call: Long,
        override val kind: ResourceKind,
        val afterNumber: Long,
        val wait: Duration,
    ) : SourceEffect
}

/** What became of a [SourceEffect]. */
public sealed interface SourceOutcome {
    /** The source gave [content]. It may be older than what the daemon holds. */
    public data class Changed(
        val content: ResourceContent,
    ) : SourceOutcome

    /** The source has nothing newer. [number] is the number that it has, or null if it does not say. */
    public data class Unchanged(
        val number: Long?,
    ) : SourceOutcome

    /** The call failed. */
    public data class Failed(
        val code: ResultCode,
    ) : SourceOutcome
}
