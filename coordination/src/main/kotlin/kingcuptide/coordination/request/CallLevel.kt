package kingcuptide.coordination.request

/** Header with the number of calls above a request; the daemon beside a target sets it, targets hand it on. */
public const val DEPTH_HEADER: String = "Kingcuptide-Depth"

/** Header with the number of the caller's attempt, from 1; a caller that retries by itself sets it. */
public const val ATTEMPT_HEADER: String = "Kingcuptide-Attempt"

/** Where in a chain of calls a request stands, which settles who may retry it after it may have run. */
public enum class CallLevel {
    /** The first call of a chain, from outside of the fleet, whose caller does not retry by itself. */
    OUTERMOST,

    /** A call made while another one is served, or one whose caller retries by itself. */
    NESTED,
}

/**
 * Returns the level of a request from its headers; [fromFleetHost] says that its caller is a host of the fleet, which
 * makes it nested even if the target forgot to hand the header on. An unreadable header counts as nested.
 */
public fun callLevelOf(depthHeader: String?, attemptHeader: String?, fromFleetHost: Boolean): CallLevel {
    val depth = if (depthHeader == null) 0 else depthHeader.trim().toIntOrNull() ?: MAX_DEPTH
    val nested = fromFleetHost || depth > 0 || attemptHeader != null
    return if (nested) CallLevel.NESTED else CallLevel.OUTERMOST
}

/** Returns the value of [DEPTH_HEADER] for a request that goes to a target. */
public fun nextDepth(depthHeader: String?): Int {
    val depth = depthHeader?.trim()?.toIntOrNull() ?: 0
    return (depth + 1).coerceIn(1, MAX_DEPTH)
}

private const val MAX_DEPTH = 1_000
