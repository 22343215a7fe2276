package kingcuptide.coordination.version

/**
 * Copy of all items of the source under one key prefix.
 *
 * It is complete up to the revision [asOf]: every change up to there is in it, so an item of that age or older that it
 * does not have was replaced or removed. Later items may be in it too, without those between. It never goes back,
 * whoever sends an item. Changes without effect on the derived state need not be in it.
 *
 * After the source has come back from an older copy, what it lost is not undone here: a document that [rules] rank higher
 * stays, and for some time so does what they hold. Confined to one thread.
 */
public class PublishedSection(
    public val prefix: String,
    private val rules: RestoreRules = RestoreRules.NONE,
) {
    private val items = LinkedHashMap<String, SourceItem>()
    private val tombstoneKeys = HashSet<String>()
    private val bases = HashMap<String, SourceItem>()
    private val effectiveRevisions = HashMap<String, Long>()

    /** Revision up to which the copy is complete; 0 if it never was. */
    public var asOf: Long = 0
        private set

    /** Applies [whole], all items as of revision [wholeAsOf], as [apply] does; returns the items that changed. */
    public fun replace(whole: List<SourceItem>, wholeAsOf: Long, keepsLost: Boolean = false): List<SourceItem> =
        apply(SectionListing(0, wholeAsOf, whole, emptySet()), keepsLost).orEmpty()

    /**
     * Applies [listing]; returns the items that changed, or null if it can't be applied as a whole: the copy is not
     * complete up to its base, or lacks an item that it lists by key.
     *
     * With [keepsLost], items of earlier eras that it does not list stay if the rules hold them.
     */
    public fun apply(listing: SectionListing, keepsLost: Boolean = false): List<SourceItem>? {
        if (listing.base > asOf || listing.unchangedKeys.any { items[it]?.value == null }) return null
        if (listing.asOf < asOf) return merge(listing.items)
        val listed = listing.items.mapTo(HashSet(listing.unchangedKeys)) { it.key }
        val changed = listing.items.filterTo(ArrayList()) { put(it) }
        val unlisted = present().filter { it.key !in listed && it.revision <= listing.asOf }
        val missing = unlisted.filterNot { keepsLost && isLost(it, listing) && rules.isHeld(it) }
        missing.map { SourceItem(it.key, listing.asOf, null) }.filterTo(changed) { put(it) }
        completeUpTo(listing.asOf)
        return changed
    }

    /**
     * Applies the [changes] after revision [after] up to [changesAsOf]; returns those that changed the copy, or null if
     * there is a gap between the copy and [after].
     */
    public fun advance(after: Long, changes: List<SourceItem>, changesAsOf: Long): List<SourceItem>? {
        if (after > asOf) return null
        val changed = merge(changes)
        completeUpTo(changesAsOf)
        return changed
    }

    /** Applies those of [items] that are later than [asOf], without changing it; returns those that changed the copy. */
    public fun merge(items: List<SourceItem>): List<SourceItem> = items.filter { it.revision > asOf && put(it) }

    private fun isLost(item: SourceItem, listing: SectionListing): Boolean =
        SourcePosition.eraOf(item.revision) < SourcePosition.eraOf(listing.asOf)

    /**
     * Records that [changed] items of the copy had an effect on the state that is derived from it, here or at a daemon
     * that has sent them: a copy that was elsewhere in between may differ in them.
     */
    public fun recordEffect(changed: List<SourceItem>) {
        for (item in changed) {
            if (items[item.key] === item) effectiveRevisions[item.key] = item.revision
        }
    }

    /** Lists the items that have an effect, for a receiver that is complete up to [base]. */
    public fun listingSince(base: Long): SectionListing {
        val effective = present().filter { it.key in effectiveRevisions }
        val (changed, unchanged) = effective.partition { effectiveRevisions.getValue(it.key) > base }
        return SectionListing(base, asOf, changed, unchanged.map { it.key })
    }

    /** Returns the large item that [item] has just replaced, which may serve as its delta base; or null. */
    public fun replacedBy(item: SourceItem): SourceItem? = bases[item.key]?.takeIf { items[item.key] === item }

    /** Returns the item of [key], or null if it does not exist. */
    public fun item(key: String): SourceItem? = items[key]?.takeIf { it.value != null }

    private fun isLarge(item: SourceItem): Boolean = (item.value?.size ?: 0) >= LARGE_BYTES

    /** Returns all items that exist. */
    public fun present(): List<SourceItem> = items.values.filter { it.value != null }

    private fun put(item: SourceItem): Boolean {
        val current = items[item.key]
        if (current != null && !replaces(current, item)) return false
        items[item.key] = item
        if (item.value == null) tombstoneKeys += item.key else tombstoneKeys -= item.key
        if (current != null && isLarge(current) && isLarge(item)) bases[item.key] = current else bases.remove(item.key)
        return current?.value != null || item.value != null
    }

    /** Within an era the later revision counts; between eras a rank does, if there is one. */
    private fun replaces(current: SourceItem, item: SourceItem): Boolean {
        val isLater = item.revision > current.revision
        if (SourcePosition.eraOf(item.revision) == SourcePosition.eraOf(current.revision)) return isLater
        val currentRank = rules.rankOf(current) ?: return isLater
        val rank = rules.rankOf(item) ?: return isLater
        return if (rank == currentRank) isLater else rank > currentRank
    }

    private fun completeUpTo(revision: Long) {
        asOf = maxOf(asOf, revision)
        if (tombstoneKeys.isEmpty()) return
        val (needless, needed) = tombstoneKeys.map(items::getValue).partition { it.revision <= asOf }
        needless.forEach(::forget)
        needed.sortedBy { it.revision }.dropLast(MAX_TOMBSTONES).forEach(::forget)
    }

    private fun forget(tombstone: SourceItem) {
        items.remove(tombstone.key)
        tombstoneKeys.remove(tombstone.key)
        effectiveRevisions.remove(tombstone.key)
    }

    private companion object {
        /** Maximum number of tombstones later than [asOf], which keep older copies of removed items out. */
        const val MAX_TOMBSTONES = 512

        /** Size of an item in bytes from which the item that it replaced is kept as a delta base. */
        const val LARGE_BYTES = 4_096
    }
}
