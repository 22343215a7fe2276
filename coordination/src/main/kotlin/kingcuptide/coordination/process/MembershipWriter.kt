package kingcuptide.coordination.process

import kingcuptide.coordination.connection.Gossip
import kingcuptide.coordination.connection.IndirectAck
import kingcuptide.coordination.connection.IndirectProbe
import kingcuptide.coordination.connection.MemberUpdate
import kingcuptide.coordination.connection.MembershipMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.Probe
import kingcuptide.coordination.connection.ProbeAck
import kingcuptide.coordination.connection.SenderState
import kingcuptide.coordination.connection.SyncReply
import kingcuptide.coordination.connection.SyncRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Builds the messages of a [SwimMembership] and keeps them within their limits of size and rate. */
internal class MembershipWriter(
    settings: MembershipSettings,
    private val table: MemberTable,
    private val queue: UpdateQueue,
    private val plan: ProbePlan,
    private val tally: MembershipTally,
) {
    private val fanOut = settings.gossipFanOut
    private val budget = ByteBudget(settings.gossipBytesPerSecond)
    private var tells = 0
    private var firstBucket = 0

    /** Allows another [TELLS_PER_TICK] hosts to be told of a claim about them. */
    fun startTick() {
        tells = 0
    }

    fun probe(target: Member, sequence: Int): Outbound {
        val claim = if (target.needsTelling) listOf(updateOf(target)) else emptyList()
        return Outbound(target.host, Probe(sender(), sequence, claim + piggyback()))
    }

    fun ack(to: HostId, sequence: Int): Outbound = Outbound(to, ProbeAck(sender(), sequence, piggyback()))

    fun indirectProbe(helper: Member, probe: PendingProbe): Outbound =
        Outbound(helper.host, IndirectProbe(sender(), probe.sequence, probe.target.key, piggyback()))

    fun indirectAck(relay: Relay): Outbound =
        Outbound(relay.origin, IndirectAck(sender(), relay.originSequence, listOf(updateOf(relay.target))))

    /** Sends what waits to be spread to some peers, as far as the budget allows. */
    fun gossipRound(now: Duration, out: MutableList<Outbound>) {
        repeat(fanOut) {
            if (queue.isEmpty()) return
            if (!budget.allows(now)) {
                tally.gossipDeferred++
                return
            }
            val peer = plan.peer() ?: return
            send(peer.host, Gossip(sender(), take(MAX_UPDATE_BYTES)), out)
        }
    }

    /** Tells [member] what is claimed of it, so that it can refute that; returns false if it was told too recently. */
    fun tell(member: Member, claim: MemberClaim, now: Duration, out: MutableList<Outbound>): Boolean {
        val told = member.lastToldAt
        if (tells >= TELLS_PER_TICK || (told != null && now - told < TELL_INTERVAL)) return false
        tells++
        member.lastToldAt = now
        val update = claim.toUpdate(member.key, table.me.incarnation)
        send(member.host, Gossip(sender(), listOf(update)), out)
        return true
    }

    /** Sends [to] the newer states of [members]. */
    fun correct(to: HostId, members: List<Member>, out: MutableList<Outbound>) {
        send(to, Gossip(sender(), members.take(MAX_CORRECTIONS).map { updateOf(it) }), out)
    }

    /** Asks a peer for what it knows otherwise. */
    fun askSync(out: MutableList<Outbound>) {
        val peer = plan.peer() ?: return
        out += Outbound(peer.host, SyncRequest(sender(), bucketHashes(table.others + table.me).toList()))
    }

    /** Answers [request] with the members of the buckets that differ, as far as the budget allows. */
    fun answerSync(to: HostId, request: SyncRequest, now: Duration, out: MutableList<Outbound>) {
        if (request.bucketHashes.size != BUCKETS) return
        val members = table.others + table.me
        val mine = bucketHashes(members)
        val differing = (0 until BUCKETS).filter { mine[it] != request.bucketHashes[it] }
        if (differing.isEmpty()) return
        tally.syncsAnswered++
        firstBucket = (firstBucket + 1) % BUCKETS
        val updates = members
            .filter { it.heard && bucketOf(it) in differing }
            .sortedBy { (bucketOf(it) + firstBucket) % BUCKETS }
            .map { updateOf(it) }
        for (part in chunks(updates)) {
            if (!budget.allows(now)) {
                tally.syncsRefused++
                return
            }
            send(to, SyncReply(sender(), part), out)
        }
    }

    private fun chunks(updates: List<MemberUpdate>): List<List<MemberUpdate>> {
        val chunks = mutableListOf<MutableList<MemberUpdate>>()
        var room = 0
        for (update in updates) {
            val bytes = encodedBytes(update)
            if (bytes > room) {
                chunks += mutableListOf<MemberUpdate>()
                room = MAX_UPDATE_BYTES
            }
            chunks.last() += update
            room -= bytes
        }
        return chunks
    }

    private fun send(to: HostId, message: MembershipMessage, out: MutableList<Outbound>) {
        budget.spend(HEADER_BYTES + message.updates.sumOf { encodedBytes(it) })
        out += Outbound(to, message)
    }

    private fun piggyback(): List<MemberUpdate> = take(PIGGYBACK_BYTES)

    private fun take(maxBytes: Int): List<MemberUpdate> = queue.take(maxBytes, table.others.size, table.me.incarnation)

    private fun sender(): SenderState = table.me.claim().toSenderState()

    private fun updateOf(member: Member): MemberUpdate = member.claim().toUpdate(member.key, table.me.incarnation)

    private companion object {
        /** Bytes of updates in one gossip or sync message; the rest of the datagram is for its head and the sender's name. */
        const val MAX_UPDATE_BYTES = 1_040

        /** Bytes of updates that ride on a probe or its answer. */
        const val PIGGYBACK_BYTES = 120

        /** Bytes of datagram headers, and of a message without updates. */
        const val HEADER_BYTES = 80
        const val TELLS_PER_TICK = 16
        const val MAX_CORRECTIONS = 16
        val TELL_INTERVAL = 1.seconds
    }
}
