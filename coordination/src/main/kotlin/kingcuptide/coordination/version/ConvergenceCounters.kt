package kingcuptide.coordination.version

/** Counters of a [ConvergenceCollector] since it started; they never decrease. */
public data class ConvergenceCounters(
    val queries: Long = 0,
    val queriesShared: Long = 0,
    val queriesRefused: Long = 0,
    val requestsSent: Long = 0,
    val requestsServed: Long = 0,
    val requestsRefused: Long = 0,
    val resent: Long = 0,
    val groupsTakenOver: Long = 0,
    val hostsUnreachable: Long = 0,
    val lateReplies: Long = 0,
    val malformedReplies: Long = 0,
)
