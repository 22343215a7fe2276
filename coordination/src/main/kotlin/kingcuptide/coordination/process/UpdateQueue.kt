package kingcuptide.coordination.process

import kingcuptide.coordination.connection.MemberUpdate
import kotlin.math.ceil
import kotlin.math.log2

/**
 * The members whose newest state is still to be gossiped, and how often each was sent.
 *
 * Contains each member at most once, so its size is bounded by the number of members.
 */
internal class UpdateQueue {
    private val sends = LinkedHashMap<Member, Int>()

    val size: Int get() = sends.size

    fun isEmpty(): Boolean = sends.isEmpty()

    /** Queues the newest state of [member] and resets its number of sends. */
    fun add(member: Member) {
        sends[member] = 0
    }

    fun remove(member: Member) {
        sends.remove(member)
    }

    /**
     * Returns updates of at most [maxBytes] for one message: suspected, dead and leaving members first, then those sent
     * least often.
     *
     * An update is removed after a number of sends that grows with the logarithm of [members] and is halved while the
     * backlog is large; anti-entropy repairs what peers miss.
     */
    fun take(maxBytes: Int, members: Int, senderIncarnation: Long): List<MemberUpdate> {
        if (sends.isEmpty()) return emptyList()
        val limit = sendLimit(members)
        val taken = mutableListOf<MemberUpdate>()
        var bytes = 0
        for (member in inSendOrder()) {
            val update = member.claim().toUpdate(member.key, senderIncarnation)
            bytes += encodedBytes(update)
            if (bytes > maxBytes) break
            taken += update
            recordSend(member, limit)
        }
        return taken
    }

    private fun inSendOrder(): List<Member> {
        if (sends.size == 1) return sends.keys.toList()
        return sends.entries.sortedWith(compareBy({ priority(it.key) }, { it.value })).map { it.key }
    }

    private fun priority(member: Member): Int = if (member.leaving || member.health != Health.ALIVE) 0 else 1

    private fun recordSend(member: Member, limit: Int) {
        val sent = (sends[member] ?: 0) + 1
        if (sent >= limit) sends.remove(member) else sends[member] = sent
    }

    private fun sendLimit(members: Int): Int {
        val fullLimit = MIN_SENDS + ceil(SENDS_PER_DOUBLING * log2(members + 2.0)).toInt()
        return if (sends.size > BACKLOG_THRESHOLD) fullLimit / 2 else fullLimit
    }

    private companion object {
        const val MIN_SENDS = 4
        const val SENDS_PER_DOUBLING = 1.5
        const val BACKLOG_THRESHOLD = 64
    }
}

/** Returns the encoded size of [update] in CBOR, in bytes. */
internal fun encodedBytes(update: MemberUpdate): Int =
    ARRAY_BYTES + numberBytes(update.hostKey.toLong()) + numberBytes(update.incarnationOffset) +
        numberBytes(update.revision.toLong()) + numberBytes(update.flags.toLong())

private fun numberBytes(value: Long): Int {
    val magnitude = if (value < 0) -(value + 1) else value
    return when {
        magnitude < 24 -> 1
        magnitude < 1L shl 8 -> 2
        magnitude < 1L shl 16 -> 3
        magnitude < 1L shl 32 -> 5
        else -> 9
    }
}

private const val ARRAY_BYTES = 2
