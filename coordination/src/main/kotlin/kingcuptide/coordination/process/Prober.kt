package kingcuptide.coordination.process

import kingcuptide.coordination.connection.IndirectProbe
import kingcuptide.coordination.connection.Outbound
import kotlin.time.Duration

/** Sends direct and indirect probes, and reports which of them failed. */
internal class Prober(
    private val settings: MembershipSettings,
    private val table: MemberTable,
    private val plan: ProbePlan,
    private val writer: MembershipWriter,
    private val counts: MutableMembershipCounters,
) {
    private val pending = PendingProbes()

    fun isPending(member: Member): Boolean = pending.isPending(member)

    /** Probes [member], unless a probe of it is pending. */
    fun start(member: Member, now: Duration, out: MutableList<Outbound>, allowIndirect: Boolean = true) {
        if (pending.isPending(member)) return
        val sequence = pending.nextSequence()
        pending.add(PendingProbe(sequence, member, now, allowIndirect, now + settings.ackTimeout))
        counts.probesSent++
        out += writer.probe(member, sequence)
    }

    /** Probes a member on behalf of the sender of [message]. */
    fun relay(from: HostId, message: IndirectProbe, now: Duration, out: MutableList<Outbound>) {
        val member = table.byKey(message.probedHostKey) ?: return
        if (member === table.selfMember) return
        val sequence = pending.nextSequence()
        val relay = RelayedProbe(from, message.sequence, member, now + settings.ackTimeout + settings.indirectTimeout)
        if (!pending.add(sequence, relay)) {
            counts.relaysRefused++
            return
        }
        out += writer.probe(member, sequence)
    }

    /**
     * Ends the own probe with [sequence] and returns the probed member, or relays the ack to the requesting daemon.
     */
    fun acknowledged(sequence: Int, out: MutableList<Outbound>): Member? {
        val probe = pending.complete(sequence)
        if (probe != null) return probe.member
        pending.completeRelay(sequence)?.let { out += writer.indirectAck(it) }
        return null
    }

    /** Sends indirect probes for expired direct ones, and returns the probes that have finally failed. */
    fun expire(now: Duration, out: MutableList<Outbound>): List<PendingProbe> {
        pending.dropExpiredRelays(now)
        val failed = mutableListOf<PendingProbe>()
        for (probe in pending.expired(now)) {
            if (probe.allowIndirect && !probe.sentIndirect) {
                sendIndirectProbes(probe, now, out)
                continue
            }
            pending.remove(probe)
            failed += probe
        }
        return failed
    }

    /** Drops all own probes without failing them, and returns their number. */
    fun dropPending(): Int = pending.clear()

    private fun sendIndirectProbes(probe: PendingProbe, now: Duration, out: MutableList<Outbound>) {
        probe.sentIndirect = true
        probe.expiresAt = now + settings.indirectTimeout
        for (helper in plan.helpers(probe.member)) {
            counts.indirectProbesSent++
            out += writer.indirectProbe(helper, probe)
        }
    }
}
