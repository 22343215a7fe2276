package kingcuptide.coordination.process

/** The hosts of one host list by the short hash of their name; hosts that share a hash are left out. */
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
