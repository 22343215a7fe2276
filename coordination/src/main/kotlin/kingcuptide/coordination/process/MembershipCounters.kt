package kingcuptide.coordination.process

/** Counters of a [Membership] since its start; none ever decreases. */
public data class MembershipCounters(
    val probesSent: Long = 0,
    val probesFailed: Long = 0,
    val indirectProbesSent: Long = 0,
    val suspicions: Long = 0,
    val deaths: Long = 0,
    val refutations: Long = 0,
    val rejoins: Long = 0,
    val staleUpdates: Long = 0,
    val unknownHostUpdates: Long = 0,
    val ignoredTimeouts: Long = 0,
    val lateTicks: Long = 0,
    val gossipDeferred: Long = 0,
    val syncReplies: Long = 0,
    val syncsRefused: Long = 0,
    val relaysRefused: Long = 0,
    val staleHostLists: Long = 0,
)
