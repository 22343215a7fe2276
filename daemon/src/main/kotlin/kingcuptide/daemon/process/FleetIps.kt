package kingcuptide.daemon.process

import kingcuptide.coordination.process.HostList

/** IP addresses of the fleet's hosts, which distinguish internal from external callers. Thread-safe. */
class FleetIps {
    @Volatile
    private var ips: Set<String> = emptySet()

    fun update(hostList: HostList) {
        ips = hostList.hosts.map { it.ip }.toSet()
    }

    fun contains(ip: String): Boolean = ip in ips
}
