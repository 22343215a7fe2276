package kingcuptide.daemon.connection

import io.ktor.network.sockets.InetSocketAddress
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.RegionId
import kingcuptide.daemon.process.SeedPeer
import java.util.concurrent.ConcurrentHashMap

/** Addresses of peers. The host list has precedence, then the senders of datagrams, then the seeds. */
class PeerAddressTable(
    seeds: List<SeedPeer>,
) {
    private val seedPeers = seeds.map { PeerAddress(it.host, it.ip, it.peerPort, it.region) }.associateBy { it.host }

    @Volatile
    private var listed: Map<HostId, PeerAddress> = emptyMap()
    private val senders = ConcurrentHashMap<HostId, PeerAddress>()

    fun update(hostList: HostList) {
        listed = hostList.hosts.map { PeerAddress(it.host, it.ip, it.peerPort, it.region) }.associateBy { it.host }
        senders.keys.removeAll(listed.keys)
    }

    /** Records the source address of a host that is not on the host list yet, so that replies can reach it. */
    fun recordSender(host: HostId, ip: String, port: Int) {
        if (host in listed || senders.size >= MAX_SENDERS) return
        senders[host] = PeerAddress(host, ip, port, region = null)
    }

    fun find(host: HostId): PeerAddress? = listed[host] ?: senders[host] ?: seedPeers[host]

    private companion object {
        const val MAX_SENDERS = 2_048
    }
}

/** Address of one peer; [region] is null while only its datagrams are known. */
data class PeerAddress(
    val host: HostId,
    val ip: String,
    val port: Int,
    val region: RegionId?,
) {
    fun socketAddress(): InetSocketAddress = InetSocketAddress(ip, port)
}
