package kingcuptide.coordination.version

/**
 * A copy of all items of the source below one prefix, as of one revision.
 *
 * It never goes back: what is older than the copy changes nothing, whoever brings it. Used from one thread.
 */
public class PublishedSection(
    public val prefix: String,
) {
    private val items = LinkedHashMap<String, SourceItem>()
    private val before = HashMap<String, SourceItem>()

    /** Revision up to which the copy is complete; 0 while nothing is known. */
    public var asOf: Long = 0
        private set

    /** Takes [whole], all items as of [wholeAsOf]; returns what changed. */
    public fun replace(whole: List<SourceItem>, wholeAsOf: Long): List<SourceItem> {
        if (wholeAsOf < asOf) return emptyList()
        val seen = whole.mapTo(HashSet()) { it.key }
        val changed = ArrayList<SourceItem>()
        whole.filterTo(changed) { put(it) }
        val gone = items.values.filter { it.value != null && it.key !in seen && it.revision <= wholeAsOf }
        for (item in gone) {
            val removed = SourceItem(item.key, wholeAsOf, null)
            if (put(removed)) changed += removed
        }
        asOf = wholeAsOf
        return changed
    }

    /**
     * Takes the [changes] after revision [after] up to [changesAsOf]; returns those that were news, or null if there is
     * a gap between the copy and [after].
     */
    public fun advance(after: Long, changes: List<SourceItem>, changesAsOf: Long): List<SourceItem>? {
        if (after > asOf) return null
        val changed = changes.filter { put(it) }
        asOf = maxOf(asOf, changesAsOf)
        forgetOldRemovals()
        return changed
    }

    /** Takes single [items], whatever else may have changed; returns those that were news. */
    public fun merge(items: List<SourceItem>): List<SourceItem> = items.filter { put(it) }

    /** Returns the large item that [item] has just replaced, from which it may be told as a delta; or null. */
    public fun replacedBy(item: SourceItem): SourceItem? = before[item.key]?.takeIf { items[item.key] === item }

    /** Returns the item of [key] if it is there. */
    public fun item(key: String): SourceItem? = items[key]?.takeIf { it.value != null }

    private fun isLarge(item: SourceItem): Boolean = (item.value?.size ?: 0) >= LARGE_BYTES

    /** Returns all items that are there. */
    public fun present(): List<SourceItem> = items.values.filter { it.value != null }

    private fun put(item: SourceItem): Boolean {
        val held = items[item.key]
        if (held != null && held.revision >= item.revision) return false
        if (held == null && item.value == null) return false
        items[item.key] = item
        if (held != null && isLarge(held) && isLarge(item)) before[item.key] = held else before.remove(item.key)
        return true
    }

    private fun forgetOldRemovals() {
        val removals = items.values.filter { it.value == null }
        if (removals.size <= MAX_REMOVALS) return
        for (removal in removals.sortedBy { it.revision }.take(removals.size - MAX_REMOVALS / 2)) {
            items.remove(removal.key)
        }
    }

    private companion object {
        /** Removals that are remembered, so that an older copy of the item is not taken for news. */
        const val MAX_REMOVALS = 512

        /** Size from which the replaced item is kept. */
        const val LARGE_BYTES = 4_096
    }
}
