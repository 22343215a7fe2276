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

/** Builds the messages of a [SwimMembership] within their size and rate limits. */
internal class MembershipWriter(
    settings: MembershipSettings,
    private val table: MemberTable,
    private val queue: UpdateQueue,
    private val plan: ProbePlan,
    private val counts: MutableMembershipCounters,
) {
    private val fanOut = settings.gossipFanOut
    private val budget = ByteBudget(settings.gossipBytesPerSecond)
    private var notificationsSent = 0
    private var firstBucket = 0

    /** Resets the limit of [MAX_NOTIFICATIONS_PER_TICK] notifications. */
    fun startTick() {
        notificationsSent = 0
    }

    fun probe(member: Member, sequence: Int): Outbound {
        val claim = if (member.needsNotification) listOf(updateOf(member)) else emptyList()
        return Outbound(member.host, Probe(sender(), sequence, claim + piggyback()))
    }

    fun ack(to: HostId, sequence: Int): Outbound = Outbound(to, ProbeAck(sender(), sequence, piggyback()))

    fun indirectProbe(helper: Member, probe: PendingProbe): Outbound =
        Outbound(helper.host, IndirectProbe(sender(), probe.sequence, probe.member.key, piggyback()))

    fun indirectAck(relay: RelayedProbe): Outbound =
        Outbound(relay.origin, IndirectAck(sender(), relay.originSequence, listOf(updateOf(relay.member))))

    /** Sends queued updates to up to [MembershipSettings.gossipFanOut] peers, within the byte budget. */
    fun gossipRound(now: Duration, out: MutableList<Outbound>) {
        repeat(fanOut) {
            if (queue.isEmpty()) return
            if (!budget.allows(now)) {
                counts.gossipDeferred++
                return
            }
            val peer = plan.peer() ?: return
            send(peer.host, Gossip(sender(), nextUpdates(MAX_UPDATE_BYTES)), out)
        }
    }

    /** Notifies [member] of [claim] so that it can refute it; returns false if a limit on notifications is reached. */
    fun notifyMember(member: Member, claim: MemberClaim, now: Duration, out: MutableList<Outbound>): Boolean {
        val notifiedAt = member.lastNotifiedAt
        if (notificationsSent >= MAX_NOTIFICATIONS_PER_TICK ||
            (notifiedAt != null && now - notifiedAt < NOTIFICATION_INTERVAL)
        ) {
            return false
        }
        notificationsSent++
        member.lastNotifiedAt = now
        val update = claim.toUpdate(member.key, table.selfMember.incarnation)
        send(member.host, Gossip(sender(), listOf(update)), out)
        return true
    }

    /** Sends the newer states of [members] to [to]. */
    fun sendCorrections(to: HostId, members: List<Member>, out: MutableList<Outbound>) {
        send(to, Gossip(sender(), members.take(MAX_CORRECTIONS).map { updateOf(it) }), out)
    }

    /** Sends a peer the bucket hashes, to request the members whose states differ. */
    fun requestSync(out: MutableList<Outbound>) {
        val peer = plan.peer() ?: return
        out += Outbound(peer.host, SyncRequest(sender(), bucketHashes(table.others + table.selfMember).toList()))
    }

    /** Replies to [request] with the members of the buckets that differ, within the byte budget. */
    fun replyToSync(to: HostId, request: SyncRequest, now: Duration, out: MutableList<Outbound>) {
        if (request.bucketHashes.size != BUCKETS) return
        val members = table.others + table.selfMember
        val ownHashes = bucketHashes(members)
        val differing = (0 until BUCKETS).filter { ownHashes[it] != request.bucketHashes[it] }
        if (differing.isEmpty()) return
        counts.syncReplies++
        firstBucket = (firstBucket + 1) % BUCKETS
        val updates = members
            .filter { it.isKnown && bucketOf(it) in differing }
            .sortedBy { (bucketOf(it) + firstBucket) % BUCKETS }
            .map { updateOf(it) }
        for (part in chunks(updates)) {
            if (!budget.allows(now)) {
                counts.syncsRefused++
                return
            }
            send(to, SyncReply(sender(), part), out)
        }
    }

    private fun chunks(updates: List<MemberUpdate>): List<List<MemberUpdate>> {
        val chunks = mutableListOf<MutableList<MemberUpdate>>()
        var remainingBytes = 0
        for (update in updates) {
            val bytes = encodedBytes(update)
            if (bytes > remainingBytes) {
                chunks += mutableListOf<MemberUpdate>()
                remainingBytes = MAX_UPDATE_BYTES
            }
            chunks.last() += update
            remainingBytes -= bytes
        }
        return chunks
    }

    private fun send(to: HostId, message: MembershipMessage, out: MutableList<Outbound>) {
        budget.spend(MESSAGE_OVERHEAD_BYTES + message.updates.sumOf { encodedBytes(it) })
        out += Outbound(to, message)
    }

    private fun piggyback(): List<MemberUpdate> = nextUpdates(MAX_PIGGYBACK_BYTES)

    private fun nextUpdates(maxBytes: Int): List<MemberUpdate> =
        queue.take(maxBytes, table.others.size, table.selfMember.incarnation)

    private fun sender(): SenderState = table.selfMember.claim().toSenderState()

    private fun updateOf(member: Member): MemberUpdate =
        member.claim().toUpdate(member.key, table.selfMember.incarnation)

    private companion object {
        /** Bytes of updates in one gossip or sync message; the header and the sender's name need the rest. */
        const val MAX_UPDATE_BYTES = 1_040

        /** Bytes of updates piggybacked on a probe or an ack. */
        const val MAX_PIGGYBACK_BYTES = 120

        /** Bytes of the datagram headers and of a message without updates. */
        const val MESSAGE_OVERHEAD_BYTES = 80
        const val MAX_NOTIFICATIONS_PER_TICK = 16
        const val MAX_CORRECTIONS = 16
        val NOTIFICATION_INTERVAL = 1.seconds
    }
}
