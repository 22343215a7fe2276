package kingcuptide.coordination.request

import kotlin.time.Duration

/** Bounded queue of requests at the gate, earliest deadline first. Not thread-safe; guarded by the gate's lock. */
internal class AdmissionQueue<T : Any>(
    var capacity: Int,
) {
    private class Item<T>(val value: T, val deadline: Duration)

    private val items = ArrayList<Item<T>>()

    val size: Int get() = items.size
    val isEmpty: Boolean get() = items.isEmpty()

    /** Adds [value], or returns false if the queue is full. */
    fun offer(value: T, deadline: Duration): Boolean {
        if (items.size >= capacity) return false
        val insertAt = items.indexOfFirst { it.deadline > deadline }
        items.add(if (insertAt < 0) items.size else insertAt, Item(value, deadline))
        return true
    }

    /** Removes and returns the request with the earliest deadline, or returns null if the queue is empty. */
    fun poll(): T? = items.removeFirstOrNull()?.value

    fun remove(value: T): Boolean = items.removeIf { it.value === value }

    /** Removes and returns the requests for which [condition] holds. */
    fun removeIf(condition: (T) -> Boolean): List<T> {
        if (items.isEmpty()) return emptyList()
        val removed = items.filter { condition(it.value) }
        items.removeAll(removed.toSet())
        return removed.map { it.value }
    }
}
