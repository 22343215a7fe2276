package kingcuptide.coordination.connection

/** What an [EntryConnection] counted since it was made. */
public data class EntryConnectionCounters(
    val opened: Long = 0,
    val lateAnswersDropped: Long = 0,
    val unknownAnswersDropped: Long = 0,
    val truncatedAnswers: Long = 0,
    val lostNotRun: Long = 0,
    val lostUnknown: Long = 0,
    val refusedFull: Long = 0,
)
