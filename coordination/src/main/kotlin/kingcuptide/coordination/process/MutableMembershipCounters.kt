package kingcuptide.coordination.process

/** Mutable state of [MembershipCounters]. */
internal class MutableMembershipCounters {
    var probesSent = 0L
    var probesFailed = 0L
    var indirectProbesSent = 0L
    var suspicions = 0L
    var deaths = 0L
    var staleUpdates = 0L
    var unknownHostUpdates = 0L
    var ignoredTimeouts = 0L
    var lateTicks = 0L
    var gossipDeferred = 0L
    var syncReplies = 0L
    var syncsRefused = 0L
    var relaysRefused = 0L
    var staleHostLists = 0L

    fun counters(self: SelfState): MembershipCounters = MembershipCounters(
        probesSent = probesSent,
        probesFailed = probesFailed,
        indirectProbesSent = indirectProbesSent,
        suspicions = suspicions,
        deaths = deaths,
        refutations = self.refutations,
        rejoins = self.rejoins,
        staleUpdates = staleUpdates,
        unknownHostUpdates = unknownHostUpdates,
        ignoredTimeouts = ignoredTimeouts,
        lateTicks = lateTicks,
        gossipDeferred = gossipDeferred,
        syncReplies = syncReplies,
        syncsRefused = syncsRefused,
        relaysRefused = relaysRefused,
        staleHostLists = staleHostLists,
    )
}
