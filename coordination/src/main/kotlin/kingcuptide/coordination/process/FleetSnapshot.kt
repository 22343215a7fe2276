package kingcuptide.coordination.process

/** An immutable snapshot of the fleet for readers on other threads. */
internal class FleetSnapshot(
    val hostList: HostList,
    private val index: Map<HostId, Int>,
    private val states: Array<HostStatus>,
    val generation: Long,
) {
    fun entry(host: HostId): HostEntry? = index[host]?.let { hostList.hosts[it] }

    fun status(host: HostId): HostStatus? = index[host]?.let { states[it] }

    /** Returns a copy with the host statuses [states] and the next generation. */
    fun with(states: Array<HostStatus>): FleetSnapshot = FleetSnapshot(hostList, index, states, generation + 1)
}

/** Status of one host in a [FleetSnapshot]. */
internal data class HostStatus(
    val liveness: Liveness,
    val incarnation: Incarnation?,
    val cold: Boolean,
)

internal fun fleetSnapshot(hostList: HostList, states: Array<HostStatus>, generation: Long): FleetSnapshot {
    val index = hostList.hosts.withIndex().associate { (position, entry) -> entry.host to position }
    return FleetSnapshot(hostList, index, states, generation)
}
