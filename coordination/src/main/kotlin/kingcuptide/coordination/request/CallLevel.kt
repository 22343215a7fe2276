package kingcuptide.coordination.request

/** Header with the number of calls above a request; the daemon beside a target sets it, targets propagate it. */
public const val DEPTH_HEADER: String = "Kingcuptide-Depth"

/** Header with the number of the caller's attempt, from 1; a caller that retries by itself sets it. */
public const val ATTEMPT_HEADER: String = "Kingcuptide-Attempt"

/** Position of a request in a chain of calls, which decides who may retry it once it may have run. */
public enum class CallLevel {
    /** The first call of a chain, from outside of the fleet, whose caller does not retry by itself. */
    OUTERMOST,

    /** A call made while another one is being served, or one whose caller retries by itself. */
    NESTED,
}

/**
 * Returns the level of a request from its headers. A request [fromFleetHost] is nested even if the calling target did
 * not propagate the header. An unreadable depth header counts as nested.
 */
public fun callLevelOf(depthHeader: String?, attemptHeader: String?, fromFleetHost: Boolean): CallLevel {
    val depth = if (depthHeader == null) 0 else depthHeader.trim().toIntOrNull() ?: MAX_DEPTH
    val nested = fromFleetHost || depth > 0 || attemptHeader != null
    return if (nested) CallLevel.NESTED else CallLevel.OUTERMOST
}

/** Returns the value of [DEPTH_HEADER] for a request to a target, from 1; an unreadable header counts as 0. */
public fun nextDepth(depthHeader: String?): Int {
    val depth = depthHeader?.trim()?.toIntOrNull() ?: 0
    return (depth + 1).coerceIn(1, MAX_DEPTH)
}

private const val MAX_DEPTH = 1_000
