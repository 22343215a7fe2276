package kingcuptide.coordination.process

/** Hosts of one host list by the short hash of their name; hosts whose hashes collide are omitted. */
internal class HostKeys(
    val list: HostList,
) {
    private val byKey: Map<Int, HostEntry> = list.hosts
        .groupBy { hostKey(it.host) }
        .filterValues { it.size == 1 }
        .mapValues { it.value.single() }

    operator fun get(key: Int): HostEntry? = byKey[key]

    operator fun contains(entry: HostEntry): Boolean = byKey[hostKey(entry.host)] == entry
}
