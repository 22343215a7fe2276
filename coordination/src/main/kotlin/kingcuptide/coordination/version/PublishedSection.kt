package kingcuptide.coordination.version

/**
 * Copy of all items of the source under one key prefix, as of one revision.
 *
 * It never goes back: items older than those in the copy are ignored, whoever sends them. Confined to one thread.
 */
public class PublishedSection(
    public val prefix: String,
) {
    private val items = LinkedHashMap<String, SourceItem>()
    private val bases = HashMap<String, SourceItem>()

    /** Revision up to which the copy is complete; 0 if it never was. */
    public var asOf: Long = 0
        private set

    /** Applies [whole], all items as of revision [wholeAsOf]; returns the items that changed. */
    public fun replace(whole: List<SourceItem>, wholeAsOf: Long): List<SourceItem> {
        if (wholeAsOf < asOf) return emptyList()
        val seen = whole.mapTo(HashSet()) { it.key }
        val changed = ArrayList<SourceItem>()
        whole.filterTo(changed) { put(it) }
        val missing = items.values.filter { it.value != null && it.key !in seen && it.revision <= wholeAsOf }
        for (item in missing) {
            val removed = SourceItem(item.key, wholeAsOf, null)
            if (put(removed)) changed += removed
        }
        asOf = wholeAsOf
        return changed
    }

    /**
     * Applies the [changes] after revision [after] up to [changesAsOf]; returns those that changed the copy, or null if
     * there is a gap between the copy and [after].
     */
    public fun advance(after: Long, changes: List<SourceItem>, changesAsOf: Long): List<SourceItem>? {
        if (after > asOf) return null
        val changed = changes.filter { put(it) }
        asOf = maxOf(asOf, changesAsOf)
        pruneTombstones()
        return changed
    }

    /** Applies single [items] without changing [asOf]; returns those that changed the copy. */
    public fun merge(items: List<SourceItem>): List<SourceItem> = items.filter { put(it) }

    /** Returns the large item that [item] has just replaced, which may serve as its delta base; or null. */
    public fun replacedBy(item: SourceItem): SourceItem? = bases[item.key]?.takeIf { items[item.key] === item }

    /** Returns the item of [key], or null if it does not exist. */
    public fun item(key: String): SourceItem? = items[key]?.takeIf { it.value != null }

    private fun isLarge(item: SourceItem): Boolean = (item.value?.size ?: 0) >= LARGE_BYTES

    /** Returns all items that exist. */
    public fun present(): List<SourceItem> = items.values.filter { it.value != null }

    private fun put(item: SourceItem): Boolean {
        val current = items[item.key]
        if (current != null && current.revision >= item.revision) return false
        if (current == null && item.value == null) return false
        items[item.key] = item
        if (current != null && isLarge(current) && isLarge(item)) bases[item.key] = current else bases.remove(item.key)
        return true
    }

    private fun pruneTombstones() {
        val tombstones = items.values.filter { it.value == null }
        if (tombstones.size <= MAX_TOMBSTONES) return
        for (tombstone in tombstones.sortedBy { it.revision }.take(tombstones.size - MAX_TOMBSTONES / 2)) {
            items.remove(tombstone.key)
        }
    }

    private companion object {
        /** Maximum number of tombstones, which prevent older copies of removed items from being applied. */
        const val MAX_TOMBSTONES = 512

        /** Size of an item in bytes from which the item that it replaced is kept as a delta base. */
        const val LARGE_BYTES = 4_096
    }
}
