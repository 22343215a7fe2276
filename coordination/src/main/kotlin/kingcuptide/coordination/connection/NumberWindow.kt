package kingcuptide.coordination.connection

/**
 * Tracks which request numbers of a connection were used, in constant memory.
 *
 * Numbers may arrive slightly out of order. A number [WINDOW_SIZE] or more below the highest is treated as used,
 * because its state is no longer stored. Not thread-safe; guarded by its connection.
 */
internal class NumberWindow {
    private val used = LongArray(WINDOW_SIZE / Long.SIZE_BITS)
    private var highest = 0L

    /** Marks [number] as used. Returns false if it already was or lies below the window. */
    fun use(number: Long): Boolean {
        if (number <= 0 || number <= highest - WINDOW_SIZE) {
            return false
        }
        if (number > highest) {
            advance(number)
        }
        val slot = (number % WINDOW_SIZE).toInt()
        val bit = 1L shl (slot % Long.SIZE_BITS)
        val word = slot / Long.SIZE_BITS
        if (used[word] and bit != 0L) {
            return false
        }
        used[word] = used[word] or bit
        return true
    }

    private fun advance(number: Long) {
        if (number - highest >= WINDOW_SIZE) {
            used.fill(0)
        } else {
            for (skipped in highest + 1..number) {
                clear(skipped)
            }
        }
        highest = number
    }

    private fun clear(number: Long) {
        val slot = (number % WINDOW_SIZE).toInt()
        val word = slot / Long.SIZE_BITS
        used[word] = used[word] and (1L shl (slot % Long.SIZE_BITS)).inv()
    }

    companion object {
        /** Number of most recent request numbers whose use is stored. */
        const val WINDOW_SIZE: Int = 4096
    }
}
