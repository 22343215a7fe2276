package kingcuptide.coordination.process

import kingcuptide.coordination.connection.IndirectProbe
import kingcuptide.coordination.connection.Outbound
import kotlin.time.Duration

/** Sends probes, asks others to probe, and says which probes failed. */
internal class Prober(
    private val settings: MembershipSettings,
    private val table: MemberTable,
    private val plan: ProbePlan,
    private val writer: MembershipWriter,
    private val tally: MembershipTally,
) {
    private val pending = PendingProbes()

    fun awaits(member: Member): Boolean = pending.awaits(member)

    /** Probes [member], unless a probe of it still waits. */
    fun start(member: Member, now: Duration, out: MutableList<Outbound>, mayAskOthers: Boolean = true) {
        if (pending.awaits(member)) return
        val sequence = pending.nextSequence()
        pending.add(PendingProbe(sequence, member, now, mayAskOthers, now + settings.ackTimeout))
        tally.probesSent++
        out += writer.probe(member, sequence)
    }

    /** Probes for the sender of [message]. */
    fun relay(from: HostId, message: IndirectProbe, now: Duration, out: MutableList<Outbound>) {
        val target = table.byKey(message.targetKey) ?: return
        if (target === table.me) return
        val sequence = pending.nextSequence()
        val relay = Relay(from, message.sequence, target, now + settings.ackTimeout + settings.indirectTimeout)
        if (!pending.add(sequence, relay)) {
            tally.relaysRefused++
            return
        }
        out += writer.probe(target, sequence)
    }

    /**
     * Ends the probe with [sequence] and returns its target, or passes the answer on to the daemon that asked for it.
     */
    fun acknowledged(sequence: Int, out: MutableList<Outbound>): Member? {
        val answered = pending.answered(sequence)
        if (answered != null) return answered.target
        pending.relayAnswered(sequence)?.let { out += writer.indirectAck(it) }
        return null
    }

    /** Asks others to probe the targets that did not answer, and returns the probes that failed for good. */
    fun expire(now: Duration, out: MutableList<Outbound>): List<PendingProbe> {
        pending.expireRelays(now)
        val failed = mutableListOf<PendingProbe>()
        for (probe in pending.expired(now)) {
            if (probe.mayAskOthers && !probe.askedOthers) {
                askOthers(probe, now, out)
                continue
            }
            pending.remove(probe)
            failed += probe
        }
        return failed
    }

    /** Drops all own probes without a verdict; returns how many. */
    fun forgetPending(): Int = pending.clear()

    private fun askOthers(probe: PendingProbe, now: Duration, out: MutableList<Outbound>) {
        probe.askedOthers = true
        probe.expiresAt = now + settings.indirectTimeout
        for (helper in plan.helpers(probe.target)) {
            tally.indirectProbesSent++
            out += writer.indirectProbe(helper, probe)
        }
    }
}
