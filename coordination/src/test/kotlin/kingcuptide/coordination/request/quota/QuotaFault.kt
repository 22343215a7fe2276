package kingcuptide.coordination.request.quota

/** What happens to the hosts, or to the limits, in the middle of a run. */
internal enum class QuotaFault {
    NONE,
    LIMIT_FALLS,
    LIMIT_RISES,
    HERD_KILLED,
    LENDERS_KILLED,
    ALL_RESTART,
    PAUSED,
    CUT,
    LOSSY,

    /** Hosts join over some seconds, and others, lenders among them, leave in a planned way. */
    JOIN_AND_LEAVE,
}

/** A fault of the code that the simulation must find. */
internal enum class PlantedFault { NONE, CHILD_FILLS_OWN_BUCKET, ROOT_IGNORES_WEIGHTS, GRANTS_COUNT_TWICE }
