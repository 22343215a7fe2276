package kingcuptide.coordination.request

import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.TargetId

/**
 * One run of a target, from its start to its end. A target that starts again under its id is another instance.
 *
 * @property startedAtUnixMs its start by its own clock, in milliseconds since the Unix epoch; null if unknown
 */
public data class TargetInstance(
    val id: TargetId,
    val startedAtUnixMs: Long?,
)

/** The instance that has published this entry. */
public val TargetEntry.instance: TargetInstance
    get() = TargetInstance(id, startedAtUnixMs.takeIf { it != TargetEntry.UNKNOWN_START })
