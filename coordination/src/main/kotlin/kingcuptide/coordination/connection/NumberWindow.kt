package kingcuptide.coordination.connection

/**
 * Remembers which request numbers of a connection were used, in constant memory.
 *
 * Numbers may arrive somewhat out of order. One that lies [SPAN] or more below the greatest counts as used, because it
 * can no longer be told whether it was. Not thread-safe: its connection guards it.
 */
internal class NumberWindow {
    private val used = LongArray(SPAN / Long.SIZE_BITS)
    private var greatest = 0L

    /** Marks [number] as used. Returns false if it was already, or is too old to tell. */
    fun use(number: Long): Boolean {
        if (number <= 0 || number <= greatest - SPAN) {
            return false
        }
        if (number > greatest) {
            advance(number)
        }
        val slot = (number % SPAN).toInt()
        val bit = 1L shl (slot % Long.SIZE_BITS)
        val word = slot / Long.SIZE_BITS
        if (used[word] and bit != 0L) {
            return false
        }
        used[word] = used[word] or bit
        return true
    }

    private fun advance(number: Long) {
        if (number - greatest >= SPAN) {
            used.fill(0)
        } else {
            for (skipped in greatest + 1..number) {
                clear(skipped)
            }
        }
        greatest = number
    }

    private fun clear(number: Long) {
        val slot = (number % SPAN).toInt()
        val word = slot / Long.SIZE_BITS
        used[word] = used[word] and (1L shl (slot % Long.SIZE_BITS)).inv()
    }

    companion object {
        /** How far below the greatest number one is still remembered. */
        const val SPAN: Int = 4096
    }
}
