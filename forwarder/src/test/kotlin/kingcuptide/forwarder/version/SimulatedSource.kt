package kingcuptide.forwarder.version

import kingcuptide.coordination.version.SourceItem

/** The source of a simulated fleet: the latest item of each key, also of those removed, under one revision counter. */
internal class SimulatedSource {
    private val latest = LinkedHashMap<String, SourceItem>()

    var revision = 1L
        private set

    /** Stores [value], or removes [key] if it is null. */
    fun write(key: String, value: String?): SourceItem {
        val item = SourceItem(key, ++revision, value?.encodeToByteArray())
        latest[key] = item
        return item
    }

    fun item(key: String): SourceItem? = latest[key]

    fun present(prefix: String): List<SourceItem> =
        latest.values.filter { it.value != null && it.key.startsWith(prefix) }

    fun changesAfter(after: Long, prefix: String): List<SourceItem> =
        latest.values.filter { it.revision > after && it.key.startsWith(prefix) }.sortedBy { it.revision }
}
