package kingcuptide.coordination.process

/** The counts behind [MembershipCounters] while they are being made. */
internal class MembershipTally {
    var probesSent = 0L
    var probesFailed = 0L
    var indirectProbesSent = 0L
    var suspicions = 0L
    var deaths = 0L
    var staleUpdates = 0L
    var unknownHosts = 0L
    var distrustedTimeouts = 0L
    var lateTicks = 0L
    var gossipDeferred = 0L
    var syncsAnswered = 0L
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
        returnsFromDeath = self.returns,
        staleUpdates = staleUpdates,
        unknownHosts = unknownHosts,
        distrustedTimeouts = distrustedTimeouts,
        lateTicks = lateTicks,
        gossipDeferred = gossipDeferred,
        syncsAnswered = syncsAnswered,
        syncsRefused = syncsRefused,
        relaysRefused = relaysRefused,
        staleHostLists = staleHostLists,
    )
}
