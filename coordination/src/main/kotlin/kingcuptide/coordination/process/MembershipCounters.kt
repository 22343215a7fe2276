package kingcuptide.coordination.process

/** Counts of what a [Membership] did since it started; none ever falls. */
public data class MembershipCounters(
    val probesSent: Long = 0,
    val probesFailed: Long = 0,
    val indirectProbesSent: Long = 0,
    val suspicions: Long = 0,
    val deaths: Long = 0,
    val refutations: Long = 0,
    val returnsFromDeath: Long = 0,
    val staleUpdates: Long = 0,
    val unknownHosts: Long = 0,
    val distrustedTimeouts: Long = 0,
    val lateTicks: Long = 0,
    val gossipDeferred: Long = 0,
    val syncsAnswered: Long = 0,
    val syncsRefused: Long = 0,
    val relaysRefused: Long = 0,
    val staleHostLists: Long = 0,
)
