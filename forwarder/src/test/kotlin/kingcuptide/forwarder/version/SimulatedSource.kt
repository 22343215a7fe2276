package kingcuptide.forwarder.version

import kingcuptide.coordination.version.SourceItem
import kingcuptide.coordination.version.SourcePosition

/**
 * The source of a simulated fleet: all changes, under one revision counter that goes back when it is restored. Without
 * [withEras] nothing but revisions orders what it returns.
 */
internal class SimulatedSource(
    private val withEras: Boolean = true,
) {
    private val latest = LinkedHashMap<String, SourceItem>()
    private val history = ArrayList<SourceItem>()
    private var era = 0L
    private var lastRevision = 1L

    /** Position of the latest change. */
    val revision: Long get() = SourcePosition.of(era, lastRevision)

    /** Stores [value], or removes [key] if it is null. */
    fun write(key: String, value: String?): SourceItem {
        lastRevision++
        val item = SourceItem(key, revision, value?.encodeToByteArray())
        latest[key] = item
        history += item
        return item
    }

    /** Comes back from a copy that lacks the last [count] changes; returns these, the earliest first. */
    fun restore(count: Int): List<SourceItem> {
        val lost = history.takeLast(minOf(count, history.size - 1))
        val kept = history.dropLast(lost.size)
        if (withEras) era++
        lastRevision = SourcePosition.revisionOf(kept.last().revision)
        history.clear()
        latest.clear()
        for (item in kept) {
            val position = SourcePosition.of(era, SourcePosition.revisionOf(item.revision))
            val restored = SourceItem(item.key, position, item.value)
            latest[item.key] = restored
            history += restored
        }
        return lost
    }

    fun item(key: String): SourceItem? = latest[key]

    fun present(prefix: String): List<SourceItem> =
        latest.values.filter { it.value != null && it.key.startsWith(prefix) }

    fun changesAfter(after: Long, prefix: String): List<SourceItem> =
        history.takeLastWhile { it.revision > after }.filter { it.key.startsWith(prefix) }
}
