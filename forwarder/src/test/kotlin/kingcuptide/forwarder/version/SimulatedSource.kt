package kingcuptide.forwarder.version

import kingcuptide.coordination.version.SourceItem

/** The source of a simulated fleet: all changes, under one revision counter. */
internal class SimulatedSource {
    private val latest = LinkedHashMap<String, SourceItem>()
    private val history = ArrayList<SourceItem>()

    var revision = 1L
        private set

    /** Stores [value], or removes [key] if it is null. */
    fun write(key: String, value: String?): SourceItem {
        val item = SourceItem(key, ++revision, value?.encodeToByteArray())
        latest[key] = item
        history += item
        return item
    }

    fun item(key: String): SourceItem? = latest[key]

    fun present(prefix: String): List<SourceItem> =
        latest.values.filter { it.value != null && it.key.startsWith(prefix) }

    fun changesAfter(after: Long, prefix: String): List<SourceItem> =
        history.takeLastWhile { it.revision > after }.filter { it.key.startsWith(prefix) }
}
