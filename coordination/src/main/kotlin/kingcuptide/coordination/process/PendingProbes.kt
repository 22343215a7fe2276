package kingcuptide.coordination.process

import kotlin.time.Duration

/** A probe that waits for its answer. */
internal class PendingProbe(
    val sequence: Int,
    val target: Member,
    val sentAt: Duration,
    val mayAskOthers: Boolean,
    var expiresAt: Duration,
) {
    var askedOthers = false
}

/** A probe made for another daemon. */
internal class Relay(
    val origin: HostId,
    val originSequence: Int,
    val target: Member,
    val expiresAt: Duration,
)

/** The probes that wait for an answer: own ones, one for each target, and at most [MAX_RELAYS] for others. */
internal class PendingProbes {
    private val bySequence = LinkedHashMap<Int, PendingProbe>()
    private val byTarget = HashMap<Member, PendingProbe>()
    private val relays = LinkedHashMap<Int, Relay>()
    private var sequence = 0

    fun nextSequence(): Int {
        sequence = (sequence + 1) and Int.MAX_VALUE
        return sequence
    }

    fun awaits(target: Member): Boolean = target in byTarget

    fun add(probe: PendingProbe) {
        bySequence[probe.sequence] = probe
        byTarget[probe.target] = probe
    }

    /** Keeps [relay] under [sequence]; returns false if too many wait. */
    fun add(sequence: Int, relay: Relay): Boolean {
        if (relays.size >= MAX_RELAYS) return false
        relays[sequence] = relay
        return true
    }

    /** Takes the probe that an answer with [sequence] of [target] ends. */
    fun answered(sequence: Int): PendingProbe? = bySequence[sequence]?.also { remove(it) }

    fun relayAnswered(sequence: Int): Relay? = relays.remove(sequence)

    fun remove(probe: PendingProbe) {
        bySequence.remove(probe.sequence)
        byTarget.remove(probe.target)
    }

    fun expired(now: Duration): List<PendingProbe> = bySequence.values.filter { it.expiresAt <= now }

    fun expireRelays(now: Duration) {
        relays.values.removeIf { it.expiresAt <= now }
    }

    /** Drops all own probes without a verdict. */
    fun clear(): Int {
        val dropped = bySequence.size
        bySequence.clear()
        byTarget.clear()
        return dropped
    }

    private companion object {
        const val MAX_RELAYS = 256
    }
}
