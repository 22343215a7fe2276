package kingcuptide.coordination.request.quota

import kingcuptide.coordination.version.Workspace
import kingcuptide.coordination.version.Workspaces

/** Requests that all hosts together may send for one workspace: [ratePerSecond] a second, and [burst] at once. */
public data class QuotaLimit(
    val ratePerSecond: Double,
    val burst: Double,
)

/** Returns the number that stands for the workspace [name] in quota messages, to save bytes. */
public fun quotaKey(name: String): Int = name.fold(FNV_OFFSET) { hash, char -> (hash xor char.code) * FNV_PRIME }

/**
 * Returns the limits of all workspaces that have one, by [quotaKey]. Two names with the same key share one quota with the
 * stricter values of both, which never allows more than either limit.
 */
public fun quotaLimitsOf(workspaces: Workspaces): Map<Int, QuotaLimit> {
    val limits = HashMap<Int, QuotaLimit>()
    workspaces.all.filter(Workspace::hasLimit).forEach {
        val limit = QuotaLimit(it.ratePerSecond, it.burst.coerceAtLeast(0.0))
        limits.merge(quotaKey(it.name), limit) { one, other ->
            QuotaLimit(minOf(one.ratePerSecond, other.ratePerSecond), minOf(one.burst, other.burst))
        }
    }
    return limits
}

/** Whether the requests of this workspace are limited. */
public val Workspace.hasLimit: Boolean get() = ratePerSecond > 0

private const val FNV_OFFSET = -0x7ee3623b
private const val FNV_PRIME = 0x01000193
