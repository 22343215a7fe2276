package kingcuptide.coordination.process

import kotlin.time.Duration

/** A probe of this daemon that waits for its ack. */
internal class PendingProbe(
    val sequence: Int,
    val member: Member,
    val sentAt: Duration,
    val allowIndirect: Boolean,
    var expiresAt: Duration,
) {
    var sentIndirect = false
}

/** A probe sent on behalf of another daemon. */
internal class RelayedProbe(
    val origin: HostId,
    val originSequence: Int,
    val member: Member,
    val expiresAt: Duration,
)

/** Probes that wait for an ack: own ones, one per probed member, and at most [MAX_RELAYS] for other daemons. */
internal class PendingProbes {
    private val bySequence = LinkedHashMap<Int, PendingProbe>()
    private val byMember = HashMap<Member, PendingProbe>()
    private val relays = LinkedHashMap<Int, RelayedProbe>()
    private var sequence = 0

    fun nextSequence(): Int {
        sequence = (sequence + 1) and Int.MAX_VALUE
        return sequence
    }

    fun isPending(member: Member): Boolean = member in byMember

    fun add(probe: PendingProbe) {
        bySequence[probe.sequence] = probe
        byMember[probe.member] = probe
    }

    /** Stores [relay] under [sequence]; returns false if [MAX_RELAYS] are pending. */
    fun add(sequence: Int, relay: RelayedProbe): Boolean {
        if (relays.size >= MAX_RELAYS) return false
        relays[sequence] = relay
        return true
    }

    /** Removes and returns the own probe with [sequence], or null if none is pending. */
    fun complete(sequence: Int): PendingProbe? = bySequence[sequence]?.also { remove(it) }

    fun completeRelay(sequence: Int): RelayedProbe? = relays.remove(sequence)

    fun remove(probe: PendingProbe) {
        bySequence.remove(probe.sequence)
        byMember.remove(probe.member)
    }

    fun expired(now: Duration): List<PendingProbe> = bySequence.values.filter { it.expiresAt <= now }

    fun dropExpiredRelays(now: Duration) {
        relays.values.removeIf { it.expiresAt <= now }
    }

    /** Drops all own probes without failing them, and returns their number. */
    fun clear(): Int {
        val dropped = bySequence.size
        bySequence.clear()
        byMember.clear()
        return dropped
    }

    private companion object {
        const val MAX_RELAYS = 256
    }
}
