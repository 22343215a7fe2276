package kingcuptide.coordination.process

import kingcuptide.coordination.connection.Gossip
import kingcuptide.coordination.connection.IndirectAck
import kingcuptide.coordination.connection.IndirectProbe
import kingcuptide.coordination.connection.MembershipMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.Probe
import kingcuptide.coordination.connection.ProbeAck
import kingcuptide.coordination.connection.SyncReply
import kingcuptide.coordination.connection.SyncRequest
import java.util.concurrent.ArrayBlockingQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** [Membership] by the SWIM protocol: direct and indirect probes, refutable suspicions, gossip, and anti-entropy. */
internal class SwimMembership(
    private val settings: MembershipSettings,
    override val self: HostEntry,
    firstIncarnation: Incarnation,
    private val clock: Clock,
    private val random: Random,
) : Membership {
    private val table = MemberTable(self, settings.seeds, firstIncarnation.value)
    private val selfState = SelfState(table.selfMember)
    private val counts = MutableMembershipCounters()
    private val queue = UpdateQueue()
    private val plan = ProbePlan(settings, table, random)
    private val suspicions = Suspicions(settings, random)
    private val writer = MembershipWriter(settings, table, queue, plan, counts)
    private val prober = Prober(settings, table, plan, writer, counts)
    private val isolation = IsolationDetector(clock.now())
    private val reportedFailures = ArrayBlockingQueue<HostId>(MAX_REPORTED_FAILURES)
    private val startedAt = clock.now()
    private var lastTick: Duration? = null
    private var nextProbe = startedAt + settings.probeInterval / plan.slots * random.nextDouble()
    private var nextDeadProbe = startedAt + settings.deadProbeInterval * random.nextDouble()
    private var nextGossip = startedAt
    private var nextSync = startedAt + STARTUP_SYNC_INTERVAL * random.nextDouble()
    private var nextPurge = startedAt
    private var lastRejoinAt: Duration? = null
    private var dirty = false

    @Volatile
    override var counters: MembershipCounters = MembershipCounters()
        private set

    override val hostList: HostList get() = table.snapshot.hostList

    override val generation: Long get() = table.snapshot.generation

    init {
        queue.add(table.selfMember)
    }

    override fun entry(host: HostId): HostEntry? = table.snapshot.entry(host)

    override fun liveness(host: HostId): Liveness = table.snapshot.status(host)?.liveness ?: Liveness.UNKNOWN

    override fun incarnation(host: HostId): Incarnation? = table.snapshot.status(host)?.incarnation

    override fun isCold(host: HostId): Boolean = table.snapshot.status(host)?.cold ?: false

    override fun reportConnectionFailure(host: HostId) {
        reportedFailures.offer(host)
    }

    override fun receive(from: HostId, message: MembershipMessage): List<Outbound> {
        val now = clock.now()
        val out = mutableListOf<Outbound>()
        detectPause(now)
        applySender(from, message, now, out)
        applyUpdates(from, message, now, out)
        reply(from, message, now, out)
        publishIfDirty()
        return out
    }

    override fun tick(): List<Outbound> {
        val now = clock.now()
        val out = mutableListOf<Outbound>()
        detectPause(now)
        lastTick = now
        writer.startTick()
        probeReportedFailures(now, out)
        prober.expire(now, out).forEach { probeFailed(it, now) }
        probeOnSchedule(now, out)
        processSuspicions(now, out)
        gossipIfDue(now, out)
        syncIfDue(now, out)
        purgeRemoved(now)
        publishIfDirty()
        counters = counts.counters(selfState)
        return out
    }

    override fun leave(): List<Outbound> {
        val out = mutableListOf<Outbound>()
        if (!selfState.announceLeaving()) return out
        queueSelfUpdate()
        repeat(LEAVE_GOSSIP_ROUNDS) { writer.gossipRound(clock.now(), out) }
        publishIfDirty()
        return out
    }

    override fun announceCold(cold: Boolean) {
        if (selfState.announceCold(cold)) queueSelfUpdate()
        publishIfDirty()
    }

    override fun updateHostList(hostList: HostList) {
        val now = clock.now()
        if (!table.update(hostList, now)) counts.staleHostLists++
    }

    private fun applySender(from: HostId, message: MembershipMessage, now: Duration, out: MutableList<Outbound>) {
        val sender = table[from] ?: return
        if (sender === table.selfMember) return
        sender.lastMessageAt = now
        val outcome = applyClaim(sender, message.sender.claim(), now, disseminate = true)
        if (outcome == MergeOutcome.STALE ||
            sender.health != Health.ALIVE
        ) {
            writer.notifyMember(sender, sender.claim(), now, out)
        }
    }

    private fun applyUpdates(from: HostId, message: MembershipMessage, now: Duration, out: MutableList<Outbound>) {
        val corrections = mutableListOf<Member>()
        for (update in message.updates) {
            val member = table.byKey(update.hostKey)
            if (member == null) {
                counts.unknownHostUpdates++
                continue
            }
            val claim = update.claim(message.sender.incarnation)
            if (member === table.selfMember) {
                handleClaimAboutSelf(claim, now)
                continue
            }
            val outcome = applyClaim(member, claim, now, disseminate = message !is SyncReply)
            if (outcome == MergeOutcome.DISPUTED) resolveDispute(member, claim, now, out)
            if (outcome == MergeOutcome.STALE && isUnchangedLongEnough(member, now)) corrections += member
        }
        if (corrections.isNotEmpty()) writer.sendCorrections(from, corrections, out)
    }

    /** Notifies [member] that a daemon declared it dead, and probes it if it is not dead here. */
    private fun resolveDispute(member: Member, claim: MemberClaim, now: Duration, out: MutableList<Outbound>) {
        val isDeadHere = member.health == Health.DEAD
        val wasNotified = writer.notifyMember(member, if (isDeadHere) member.claim() else claim, now, out)
        if (wasNotified && !isDeadHere) prober.start(member, now, out)
    }

    private fun isUnchangedLongEnough(member: Member, now: Duration): Boolean =
        now - member.changedAt >= CORRECTION_DELAY

    private fun handleClaimAboutSelf(claim: MemberClaim, now: Duration) {
        val rejoinsBefore = selfState.rejoins
        if (selfState.handleClaim(claim)) queueSelfUpdate()
        if (selfState.rejoins > rejoinsBefore) recheckAfterRejoin(now)
    }

    private fun applyClaim(member: Member, claim: MemberClaim, now: Duration, disseminate: Boolean): MergeOutcome {
        val wasDead = member.health == Health.DEAD
        val outcome = member.merge(claim)
        when (outcome) {
            MergeOutcome.UNCHANGED, MergeOutcome.DISPUTED -> Unit
            MergeOutcome.STALE -> counts.staleUpdates++
            MergeOutcome.ANNOUNCED -> {
                suspicions.stop(member)
                recordChange(member, now, disseminate)
            }
            MergeOutcome.SUSPECTED -> {
                suspicions.start(member, now)
                recordChange(member, now, disseminate)
            }
        }
        if (wasDead && outcome == MergeOutcome.ANNOUNCED && claim.rejoined) detectHealedPartition(member, now)
        return outcome
    }

    private fun recordChange(member: Member, now: Duration, disseminate: Boolean) {
        member.changedAt = now
        member.deadWhileIsolated = false
        if (disseminate && member.listed) queue.add(member)
        dirty = true
    }

    private fun queueSelfUpdate() {
        queue.add(table.selfMember)
        dirty = true
    }

    /** Rejoins if most of a rejoining host's region is dead here: that region has then declared this daemon dead. */
    private fun detectHealedPartition(member: Member, now: Duration) {
        val rejoinedAt = lastRejoinAt
        if (rejoinedAt != null && now - rejoinedAt < settings.suspicionTimeout) return
        val region = table.others.filter { it.entry.region == member.entry.region }
        val dead = region.count { it.health == Health.DEAD }
        if (dead < MIN_DEAD_IN_PARTITION || dead * 2 < region.size) return
        lastRejoinAt = now
        selfState.rejoin()
        queueSelfUpdate()
    }

    /** Rechecks the members for which [needsRecheck] is true: this daemon was itself isolated when it judged them. */
    private fun recheck(now: Duration, needsRecheck: (Member) -> Boolean) {
        val rechecked = table.others.filter { it.health != Health.ALIVE && needsRecheck(it) }
        rechecked.forEach { suspicions.recheck(it, now) }
        if (rechecked.isNotEmpty()) dirty = true
    }

    /**
     * Rechecks dead members after this daemon was itself declared dead, as it then declared others dead in error.
     * Rechecks all of them if this daemon alone was isolated, but at most [MAX_RECHECKED_MEMBERS] if its region was:
     * there, the hosts that rejoin disseminate the update themselves.
     */
    private fun recheckAfterRejoin(now: Duration) {
        nextSync = now
        val regionMembers = table.others.filter { it.entry.region == self.region }
        val wasIsolatedAlone = regionMembers.count { it.health == Health.DEAD } * 2 > regionMembers.size
        val rechecked = table.others.filter { it.health == Health.DEAD }.shuffled(random)
        val limit = if (wasIsolatedAlone) rechecked.size else MAX_RECHECKED_MEMBERS
        val chosen = rechecked.take(limit).toSet()
        recheck(now) { it in chosen }
    }

    private fun endRecheck(member: Member) {
        if (!member.isRecheck) return
        suspicions.stop(member)
        member.health = Health.ALIVE
        dirty = true
    }

    private fun reply(from: HostId, message: MembershipMessage, now: Duration, out: MutableList<Outbound>) {
        when (message) {
            is Probe -> out += writer.ack(from, message.sequence)
            is ProbeAck -> acknowledged(message.sequence, now, out)?.let(::endRecheck)
            is IndirectProbe -> prober.relay(from, message, now, out)
            is IndirectAck -> {
                acknowledged(message.sequence, now, out)
            }
            is SyncRequest -> writer.replyToSync(from, message, now, out)
            is Gossip, is SyncReply -> Unit
        }
    }

    private fun acknowledged(sequence: Int, now: Duration, out: MutableList<Outbound>): Member? {
        if (isolation.recordAck(now)) {
            nextSync = now
            recheck(now) { it.health == Health.SUSPECT || it.deadWhileIsolated }
        }
        return prober.acknowledged(sequence, out)
    }

    /** After a process pause, in which no acks could be received, drops the pending probes and postpones verdicts. */
    private fun detectPause(now: Duration) {
        val gap = now - (lastTick ?: now)
        if (gap < settings.lateTickThreshold) return
        lastTick = now
        counts.lateTicks++
        counts.ignoredTimeouts += prober.dropPending()
        suspicions.postpone(gap)
        isolation.postpone(gap)
        if (gap < settings.suspicionTimeout) return
        nextSync = now
        selfState.rejoin()
        queueSelfUpdate()
    }

    private fun probeReportedFailures(now: Duration, out: MutableList<Outbound>) {
        while (true) {
            val host = reportedFailures.poll() ?: return
            val member = table[host] ?: continue
            if (member !== table.selfMember && member.health == Health.ALIVE) prober.start(member, now, out)
        }
    }

    private fun probeOnSchedule(now: Duration, out: MutableList<Outbound>) {
        if (now >= nextProbe) {
            nextProbe = nextDue(nextProbe, settings.probeInterval / plan.slots, now)
            plan.next()?.let { prober.start(it, now, out) }
            probeSuspectFailureDomains(now, out)
        }
        if (now >= nextDeadProbe) {
            nextDeadProbe = nextDue(nextDeadProbe, settings.deadProbeInterval, now)
            plan.deadMember()?.let { prober.start(it, now, out, allowIndirect = false) }
        }
    }

    /** Probes the other hosts of failure domains with several suspected hosts ahead of schedule. */
    private fun probeSuspectFailureDomains(now: Duration, out: MutableList<Outbound>) {
        val failureDomains = suspicions.suspectFailureDomains()
        if (failureDomains.isEmpty()) return
        repeat(PROBES_IN_SUSPECT_DOMAINS) { plan.randomMemberOf(failureDomains)?.let { prober.start(it, now, out) } }
    }

    private fun nextDue(due: Duration, interval: Duration, now: Duration): Duration = maxOf(due + interval, now)

    private fun probeFailed(probe: PendingProbe, now: Duration) {
        counts.probesFailed++
        val member = probe.member
        val hasMessageSince = member.lastMessageAt?.let { it >= probe.sentAt } ?: false
        if (hasMessageSince || !member.isKnown || member.health != Health.ALIVE) return
        if (isolation.isInconclusive(probe.sentAt, now)) {
            counts.ignoredTimeouts++
            return
        }
        counts.suspicions++
        suspicions.start(member, now)
        recordChange(member, now, disseminate = !isolation.isIsolated(now))
    }

    private fun processSuspicions(now: Duration, out: MutableList<Outbound>) {
        val due = suspicions.dueForProbe(now).filterNot(prober::isPending)
        for (member in due.take(MAX_SUSPECT_PROBES_PER_TICK)) {
            suspicions.recordProbe(member, now)
            prober.start(member, now, out, allowIndirect = false)
        }
        suspicions.dueForDeadVerdict(now).filterNot(prober::isPending).forEach { declareDead(it, now) }
    }

    private fun declareDead(member: Member, now: Duration) {
        counts.deaths++
        suspicions.stop(member)
        member.health = Health.DEAD
        member.changedAt = now
        member.deadWhileIsolated = isolation.isIsolated(now)
        queue.remove(member)
        dirty = true
    }

    private fun gossipIfDue(now: Duration, out: MutableList<Outbound>) {
        if (queue.isEmpty() || now < nextGossip) return
        nextGossip = now + settings.gossipInterval
        writer.gossipRound(now, out)
    }

    private fun syncIfDue(now: Duration, out: MutableList<Outbound>) {
        if (now < nextSync) return
        nextSync = now + nextSyncDelay(now)
        writer.requestSync(out)
    }

    private fun nextSyncDelay(now: Duration): Duration {
        val isStartup = now - startedAt < settings.syncInterval * STARTUP_LENGTH_IN_SYNC_INTERVALS
        val manyUnknown = table.others.count { !it.isKnown } * UNKNOWN_SHARE_DIVISOR > table.others.size
        return if (isStartup && manyUnknown) STARTUP_SYNC_INTERVAL else settings.syncInterval
    }

    private fun purgeRemoved(now: Duration) {
        if (now < nextPurge) return
        nextPurge = now + PURGE_INTERVAL
        for (member in table.purgeRemoved(now - settings.removedHostRetention)) {
            suspicions.stop(member)
            queue.remove(member)
        }
    }

    private fun publishIfDirty() {
        if (!dirty) return
        dirty = false
        table.publish()
    }

    private companion object {
        const val MAX_REPORTED_FAILURES = 64
        const val MAX_SUSPECT_PROBES_PER_TICK = 8
        const val LEAVE_GOSSIP_ROUNDS = 2
        const val PROBES_IN_SUSPECT_DOMAINS = 2
        const val MAX_RECHECKED_MEMBERS = 64
        const val MIN_DEAD_IN_PARTITION = 3
        const val STARTUP_LENGTH_IN_SYNC_INTERVALS = 3

        /** A starting daemon syncs more often while more than one in this many members is unknown. */
        const val UNKNOWN_SHARE_DIVISOR = 10
        val STARTUP_SYNC_INTERVAL = 1.seconds
        val PURGE_INTERVAL = 5.seconds
        val CORRECTION_DELAY = 2.seconds
    }
}
