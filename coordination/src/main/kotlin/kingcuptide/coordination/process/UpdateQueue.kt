package kingcuptide.coordination.process

import kingcuptide.coordination.connection.MemberUpdate
import kotlin.math.ceil
import kotlin.math.log2

/**
 * The hosts whose newest state is still to be spread, and how often each was sent.
 *
 * It holds each host at most once, so its size is bounded by the number of members.
 */
internal class UpdateQueue {
    private val sends = LinkedHashMap<Member, Int>()

    val size: Int get() = sends.size

    fun isEmpty(): Boolean = sends.isEmpty()

    /** Starts to spread the state of [member] anew. */
    fun add(member: Member) {
        sends[member] = 0
    }

    fun remove(member: Member) {
        sends.remove(member)
    }

    /**
     * Takes updates for one message of at most [maxBytes], suspicions and leavings first, then those sent least often.
     *
     * Each is dropped after a number of sends that grows with the logarithm of [members], and is half as great while
     * many wait: the comparison with peers repairs what is missed.
     */
    fun take(maxBytes: Int, members: Int, senderIncarnation: Long): List<MemberUpdate> {
        if (sends.isEmpty()) return emptyList()
        val limit = sendLimit(members)
        val taken = mutableListOf<MemberUpdate>()
        var bytes = 0
        for (member in inOrder()) {
            val update = member.claim().toUpdate(member.key, senderIncarnation)
            bytes += encodedBytes(update)
            if (bytes > maxBytes) break
            taken += update
            count(member, limit)
        }
        return taken
    }

    private fun inOrder(): List<Member> {
        if (sends.size == 1) return sends.keys.toList()
        return sends.entries.sortedWith(compareBy({ urgency(it.key) }, { it.value })).map { it.key }
    }

    private fun urgency(member: Member): Int = if (member.leaving || member.health != Health.ALIVE) 0 else 1

    private fun count(member: Member, limit: Int) {
        val sent = (sends[member] ?: 0) + 1
        if (sent >= limit) sends.remove(member) else sends[member] = sent
    }

    private fun sendLimit(members: Int): Int {
        val whole = LEAST_SENDS + ceil(SENDS_PER_DOUBLING * log2(members + 2.0)).toInt()
        return if (sends.size > BACKLOG) whole / 2 else whole
    }

    private companion object {
        const val LEAST_SENDS = 4
        const val SENDS_PER_DOUBLING = 1.5
        const val BACKLOG = 64
    }
}

/** Returns the bytes that [update] takes in CBOR. */
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
