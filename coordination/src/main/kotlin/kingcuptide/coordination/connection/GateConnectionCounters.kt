package kingcuptide.coordination.connection

/** Counters of a [GateConnection] since its creation. */
public data class GateConnectionCounters(
    val accepted: Long = 0,
    val refusedStale: Long = 0,
    val refusedFull: Long = 0,
    val expiredNotRun: Long = 0,
    val expiredRunning: Long = 0,
    val cancelledNotRun: Long = 0,
    val cancelledRunning: Long = 0,
    val duplicatesDropped: Long = 0,
    val unknownDropped: Long = 0,
)
