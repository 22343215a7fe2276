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

/** [Membership] by probes with indirect probes, suspicion with refutation, gossip, and comparison of tables. */
internal class SwimMembership(
    private val settings: MembershipSettings,
    override val self: HostEntry,
    firstIncarnation: Incarnation,
    private val clock: Clock,
    private val random: Random,
) : Membership {
    private val table = MemberTable(self, settings.seeds, firstIncarnation.value)
    private val selfState = SelfState(table.me)
    private val tally = MembershipTally()
    private val queue = UpdateQueue()
    private val plan = ProbePlan(settings, table, random)
    private val suspicions = Suspicions(settings, random)
    private val writer = MembershipWriter(settings, table, queue, plan, tally)
    private val prober = Prober(settings, table, plan, writer, tally)
    private val echo = Echo(clock.now())
    private val hints = ArrayBlockingQueue<HostId>(MAX_HINTS)
    private val startedAt = clock.now()
    private var lastTick: Duration? = null
    private var nextProbe = startedAt + settings.probeInterval / plan.slots * random.nextDouble()
    private var nextDeadProbe = startedAt + settings.deadProbeInterval * random.nextDouble()
    private var nextGossip = startedAt
    private var nextSync = startedAt + FIRST_SYNC * random.nextDouble()
    private var nextForget = startedAt
    private var raisedAt: Duration? = null
    private var dirty = false

    @Volatile
    override var counters: MembershipCounters = MembershipCounters()
        private set

    override val hostList: HostList get() = table.snapshot.hostList

    override val generation: Long get() = table.snapshot.generation

    init {
        queue.add(table.me)
    }

    override fun entry(host: HostId): HostEntry? = table.snapshot.entry(host)

    override fun liveness(host: HostId): Liveness = table.snapshot.status(host)?.liveness ?: Liveness.UNKNOWN

    override fun incarnation(host: HostId): Incarnation? = table.snapshot.status(host)?.incarnation

    override fun isCold(host: HostId): Boolean = table.snapshot.status(host)?.cold ?: false

    override fun reportConnectionFailure(host: HostId) {
        hints.offer(host)
    }

    override fun receive(from: HostId, message: MembershipMessage): List<Outbound> {
        val now = clock.now()
        val out = mutableListOf<Outbound>()
        noticeGap(now)
        takeSender(from, message, now, out)
        takeUpdates(from, message, now, out)
        answer(from, message, now, out)
        publishIfDirty()
        return out
    }

    override fun tick(): List<Outbound> {
        val now = clock.now()
        val out = mutableListOf<Outbound>()
        noticeGap(now)
        lastTick = now
        writer.startTick()
        followHints(now, out)
        prober.expire(now, out).forEach { probeFailed(it, now) }
        probeInTurn(now, out)
        runSuspicions(now, out)
        gossip(now, out)
        sync(now, out)
        forgetRemoved(now)
        publishIfDirty()
        counters = tally.counters(selfState)
        return out
    }

    override fun leave(): List<Outbound> {
        val out = mutableListOf<Outbound>()
        if (!selfState.announceLeaving()) return out
        spreadSelf()
        repeat(LEAVE_ROUNDS) { writer.gossipRound(clock.now(), out) }
        publishIfDirty()
        return out
    }

    override fun announceCold(cold: Boolean) {
        if (selfState.announceCold(cold)) spreadSelf()
        publishIfDirty()
    }

    override fun updateHostList(hostList: HostList) {
        val now = clock.now()
        if (!table.update(hostList, now)) tally.staleHostLists++
    }

    private fun takeSender(from: HostId, message: MembershipMessage, now: Duration, out: MutableList<Outbound>) {
        val sender = table[from] ?: return
        if (sender === table.me) return
        sender.lastHeard = now
        val outcome = take(sender, message.sender.claim(), now, spread = true)
        if (outcome == MergeOutcome.STALE ||
            sender.health != Health.ALIVE
        ) {
            writer.tell(sender, sender.claim(), now, out)
        }
    }

    private fun takeUpdates(from: HostId, message: MembershipMessage, now: Duration, out: MutableList<Outbound>) {
        val corrections = mutableListOf<Member>()
        for (update in message.updates) {
            val member = table.byKey(update.hostKey)
            if (member == null) {
                tally.unknownHosts++
                continue
            }
            val claim = update.claim(message.sender.incarnation)
            if (member === table.me) {
                answerForSelf(claim, now)
                continue
            }
            val outcome = take(member, claim, now, spread = message !is SyncReply)
            if (outcome == MergeOutcome.DISPUTED) settle(member, claim, now, out)
            if (outcome == MergeOutcome.STALE && isSettledSince(member, now)) corrections += member
        }
        if (corrections.isNotEmpty()) writer.correct(from, corrections, out)
    }

    /** Tells [member] that somebody takes it for dead, and finds out whether that is so. */
    private fun settle(member: Member, claim: MemberClaim, now: Duration, out: MutableList<Outbound>) {
        val isDeadHere = member.health == Health.DEAD
        val told = writer.tell(member, if (isDeadHere) member.claim() else claim, now, out)
        if (told && !isDeadHere) prober.start(member, now, out)
    }

    private fun isSettledSince(member: Member, now: Duration): Boolean = now - member.changedAt >= CORRECT_AFTER

    private fun answerForSelf(claim: MemberClaim, now: Duration) {
        val returnsBefore = selfState.returns
        if (selfState.answer(claim)) spreadSelf()
        if (selfState.returns > returnsBefore) doubtAfterReturn(now)
    }

    private fun take(member: Member, claim: MemberClaim, now: Duration, spread: Boolean): MergeOutcome {
        val wasDead = member.health == Health.DEAD
        val outcome = member.merge(claim)
        when (outcome) {
            MergeOutcome.KNOWN, MergeOutcome.DISPUTED -> Unit
            MergeOutcome.STALE -> tally.staleUpdates++
            MergeOutcome.ANNOUNCED -> {
                suspicions.stop(member)
                changed(member, now, spread)
            }
            MergeOutcome.SUSPECTED -> {
                suspicions.start(member, now)
                changed(member, now, spread)
            }
        }
        if (wasDead && outcome == MergeOutcome.ANNOUNCED && claim.returned) noticeHeal(member, now)
        return outcome
    }

    private fun changed(member: Member, now: Duration, spread: Boolean) {
        member.changedAt = now
        member.diedUnanswered = false
        if (spread && member.listed) queue.add(member)
        dirty = true
    }

    private fun spreadSelf() {
        queue.add(table.me)
        dirty = true
    }

    /** If most of a returning host's region was taken for dead here, this host was taken for dead there. */
    private fun noticeHeal(member: Member, now: Duration) {
        val raised = raisedAt
        if (raised != null && now - raised < settings.suspicionTimeout) return
        val region = table.others.filter { it.entry.region == member.entry.region }
        val dead = region.count { it.health == Health.DEAD }
        if (dead < MIN_DEAD_OF_CUT || dead * 2 < region.size) return
        raisedAt = now
        selfState.returnFromDeath()
        spreadSelf()
    }

    /**
     * Doubts the verdicts on the members that [isDoubtful] holds of: this daemon was itself cut off when it made them.
     */
    private fun doubt(now: Duration, isDoubtful: (Member) -> Boolean) {
        val doubted = table.others.filter { it.health != Health.ALIVE && isDoubtful(it) }
        doubted.forEach { suspicions.doubt(it, now) }
        if (doubted.isNotEmpty()) dirty = true
    }

    /**
     * Whoever was taken for dead took others for dead. All of them are probed again if this daemon alone was cut off,
     * and
     * some of them if its region was: there, those that return spread the news.
     */
    private fun doubtAfterReturn(now: Duration) {
        nextSync = now
        val near = table.others.filter { it.entry.region == self.region }
        val wasAlone = near.count { it.health == Health.DEAD } * 2 > near.size
        val doubted = table.others.filter { it.health == Health.DEAD }.shuffled(random)
        val limit = if (wasAlone) doubted.size else MAX_DOUBTS
        val chosen = doubted.take(limit).toSet()
        doubt(now) { it in chosen }
    }

    private fun endDoubt(member: Member) {
        if (!member.doubted) return
        suspicions.stop(member)
        member.health = Health.ALIVE
        dirty = true
    }

    private fun answer(from: HostId, message: MembershipMessage, now: Duration, out: MutableList<Outbound>) {
        when (message) {
            is Probe -> out += writer.ack(from, message.sequence)
            is ProbeAck -> acknowledged(message.sequence, now, out)?.let(::endDoubt)
            is IndirectProbe -> prober.relay(from, message, now, out)
            is IndirectAck -> {
                acknowledged(message.sequence, now, out)
            }
            is SyncRequest -> writer.answerSync(from, message, now, out)
            is Gossip, is SyncReply -> Unit
        }
    }

    private fun acknowledged(sequence: Int, now: Duration, out: MutableList<Outbound>): Member? {
        if (echo.answered(now)) {
            nextSync = now
            doubt(now) { it.health == Health.SUSPECT || it.diedUnanswered }
        }
        return prober.acknowledged(sequence, out)
    }

    /** A process that did not run could hear no answers: it drops its open probes and puts off its verdicts. */
    private fun noticeGap(now: Duration) {
        val gap = now - (lastTick ?: now)
        if (gap < settings.lateTick) return
        lastTick = now
        tally.lateTicks++
        tally.distrustedTimeouts += prober.forgetPending()
        suspicions.postpone(gap)
        echo.postpone(gap)
        if (gap < settings.suspicionTimeout) return
        nextSync = now
        selfState.returnFromDeath()
        spreadSelf()
    }

    private fun followHints(now: Duration, out: MutableList<Outbound>) {
        while (true) {
            val host = hints.poll() ?: return
            val member = table[host] ?: continue
            if (member !== table.me && member.health == Health.ALIVE) prober.start(member, now, out)
        }
    }

    private fun probeInTurn(now: Duration, out: MutableList<Outbound>) {
        if (now >= nextProbe) {
            nextProbe = later(nextProbe, settings.probeInterval / plan.slots, now)
            plan.next()?.let { prober.start(it, now, out) }
            probeHerd(now, out)
        }
        if (now >= nextDeadProbe) {
            nextDeadProbe = later(nextDeadProbe, settings.deadProbeInterval, now)
            plan.deadMember()?.let { prober.start(it, now, out, mayAskOthers = false) }
        }
    }

    /** Where several hosts of a failure domain are suspected, the others of it are probed sooner than in their turn. */
    private fun probeHerd(now: Duration, out: MutableList<Outbound>) {
        val herds = suspicions.herds()
        if (herds.isEmpty()) return
        repeat(HERD_PROBES) { plan.memberOf(herds)?.let { prober.start(it, now, out) } }
    }

    private fun later(due: Duration, interval: Duration, now: Duration): Duration = maxOf(due + interval, now)

    private fun probeFailed(probe: PendingProbe, now: Duration) {
        tally.probesFailed++
        val member = probe.target
        val heardSince = member.lastHeard?.let { it >= probe.sentAt } ?: false
        if (heardSince || !member.heard || member.health != Health.ALIVE) return
        if (echo.isDoubtful(probe.sentAt, now)) {
            tally.distrustedTimeouts++
            return
        }
        tally.suspicions++
        suspicions.start(member, now)
        changed(member, now, spread = !echo.isUnanswered(now))
    }

    private fun runSuspicions(now: Duration, out: MutableList<Outbound>) {
        val due = suspicions.dueForVerification(now).filterNot(prober::awaits)
        for (member in due.take(VERIFICATIONS_PER_TICK)) {
            suspicions.verified(member, now)
            prober.start(member, now, out, mayAskOthers = false)
        }
        suspicions.dueForDeath(now).filterNot(prober::awaits).forEach { conclude(it, now) }
    }

    private fun conclude(member: Member, now: Duration) {
        tally.deaths++
        suspicions.stop(member)
        member.health = Health.DEAD
        member.changedAt = now
        member.diedUnanswered = echo.isUnanswered(now)
        queue.remove(member)
        dirty = true
    }

    private fun gossip(now: Duration, out: MutableList<Outbound>) {
        if (queue.isEmpty() || now < nextGossip) return
        nextGossip = now + settings.gossipInterval
        writer.gossipRound(now, out)
    }

    private fun sync(now: Duration, out: MutableList<Outbound>) {
        if (now < nextSync) return
        nextSync = now + syncPause(now)
        writer.askSync(out)
    }

    private fun syncPause(now: Duration): Duration {
        val young = now - startedAt < settings.syncInterval * YOUNG_INTERVALS
        val ignorant = table.others.count { !it.heard } * IGNORANT_SHARE > table.others.size
        return if (young && ignorant) FIRST_SYNC else settings.syncInterval
    }

    private fun forgetRemoved(now: Duration) {
        if (now < nextForget) return
        nextForget = now + FORGET_PAUSE
        for (member in table.forget(now - settings.forgetAfter)) {
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
        const val MAX_HINTS = 64
        const val VERIFICATIONS_PER_TICK = 8
        const val LEAVE_ROUNDS = 2
        const val HERD_PROBES = 2
        const val MAX_DOUBTS = 64
        const val MIN_DEAD_OF_CUT = 3
        const val YOUNG_INTERVALS = 3
        const val IGNORANT_SHARE = 10
        val FIRST_SYNC = 1.seconds
        val FORGET_PAUSE = 5.seconds
        val CORRECT_AFTER = 2.seconds
    }
}
