package kingcuptide.coordination.request

import kingcuptide.coordination.version.TargetId
import kotlin.time.Duration

/** A [request] that started at [startedAt], was interrupted or had its response at [at], and may have crashed [target]. */
public class CrashCandidate(
    public val request: FingerprintInput,
    public val target: TargetId,
    public val startedAt: Duration,
    public val at: Duration,
)
