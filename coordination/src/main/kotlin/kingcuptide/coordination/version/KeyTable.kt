package kingcuptide.coordination.version

/**
 * Owners of API keys by digest, in an open-addressed hash table. A look-up takes the same time for any number of keys.
 *
 * Primitive arrays take 20 bytes for each slot, about a quarter of what a map of objects takes.
 */
internal class KeyTable(keyCount: Int) {
    private val slots = slotsFor(keyCount)
    private val words = LongArray(slots * WORDS_PER_DIGEST)
    private val owners = IntArray(slots)

    /** Number of different keys. */
    var size = 0
        private set

    /** Returns the owner of [digest], [UNKNOWN] or [SHARED]. */
    fun ownerOf(digest: KeyDigest): Int = owners[slotOf(digest)]

    /**
     * Adds [digest] for [owner], a positive number. A digest of two owners becomes [SHARED]; returns the earlier owner then,
     * or else [UNKNOWN].
     */
    fun add(digest: KeyDigest, owner: Int): Int {
        val slot = slotOf(digest)
        val earlier = owners[slot]
        if (earlier == UNKNOWN) {
            words[slot * WORDS_PER_DIGEST] = digest.high
            words[slot * WORDS_PER_DIGEST + 1] = digest.low
            size++
        }
        owners[slot] = if (earlier == UNKNOWN || earlier == owner) owner else SHARED
        return if (earlier == owner) UNKNOWN else earlier
    }

    /** Returns the slot that holds [digest], or the free one in which it would be placed. */
    private fun slotOf(digest: KeyDigest): Int {
        var slot = digest.high.toInt() and (slots - 1)
        while (owners[slot] != UNKNOWN && !holds(slot, digest)) slot = (slot + 1) and (slots - 1)
        return slot
    }

    /** Compares all bits in any case, so that the time does not tell how many of them are equal. */
    private fun holds(slot: Int, digest: KeyDigest): Boolean {
        val first = slot * WORDS_PER_DIGEST
        val difference = (words[first] xor digest.high) or (words[first + 1] xor digest.low)
        return difference == 0L
    }

    companion object {
        /** No workspace has the key. */
        const val UNKNOWN = 0

        /** More than one workspace has the key. */
        const val SHARED = -1
        private const val WORDS_PER_DIGEST = 2
        private const val MIN_SLOTS = 16

        /** Returns a power of two with at least a third of the slots free, so that look-ups need few steps. */
        private fun slotsFor(keyCount: Int): Int {
            var slots = MIN_SLOTS
            while (slots < keyCount + keyCount / 2) slots *= 2
            return slots
        }
    }
}
