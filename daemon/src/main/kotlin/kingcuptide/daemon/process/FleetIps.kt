package kingcuptide.daemon.process

import kingcuptide.coordination.process.HostList

/** The addresses of the hosts of the fleet, for telling callers inside it from those outside. Thread-safe. */
class FleetIps {
    @Volatile
    private var ips: Set<String> = emptySet()

    fun update(hostList: HostList) {
        ips = hostList.hosts.map { it.ip }.toSet()
    }

    fun contains(ip: String): Boolean = ip in ips
}
