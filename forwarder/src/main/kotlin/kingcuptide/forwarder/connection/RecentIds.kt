package kingcuptide.forwarder.connection

/** The last [CAPACITY] ids that were added, kept as their hashes to save memory. */
internal class RecentIds {
    private var hashes = IntArray(INITIAL_CAPACITY)
    private var size = 0
    private var next = 0

    fun add(id: String) {
        if (next == hashes.size && next < CAPACITY) hashes = hashes.copyOf(CAPACITY)
        if (next == CAPACITY) next = 0
        hashes[next++] = id.hashCode()
        size = maxOf(size, next)
    }

    /** Returns whether [id] is among them, or another id with the same hash. */
    operator fun contains(id: String): Boolean {
        val hash = id.hashCode()
        for (index in 0 until size) if (hashes[index] == hash) return true
        return false
    }

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val CAPACITY = 256
    }
}
