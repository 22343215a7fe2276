package kingcuptide.coordination.connection

/** Counters of an [EntryConnection] since its creation. */
public data class EntryConnectionCounters(
    val opened: Long = 0,
    val lateResponsesDropped: Long = 0,
    val unknownResponsesDropped: Long = 0,
    val truncatedResponses: Long = 0,
    val disconnectedNotRun: Long = 0,
    val disconnectedUnknown: Long = 0,
    val refusedFull: Long = 0,
)
