package kingcuptide.daemon.connection

import io.ktor.network.sockets.InetSocketAddress
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.RegionId
import kingcuptide.daemon.process.SeedPeer
import java.util.concurrent.ConcurrentHashMap

/** Where each peer listens. The host list decides; seeds and senders heard of serve until the list has the host. */
class PeerAddressBook(
    seeds: List<SeedPeer>,
) {
    private val seedPeers = seeds.map { PeerAddress(it.host, it.ip, it.peerPort, it.region) }.associateBy { it.host }

    @Volatile
    private var listed: Map<HostId, PeerAddress> = emptyMap()
    private val heard = ConcurrentHashMap<HostId, PeerAddress>()

    fun update(hostList: HostList) {
        listed = hostList.hosts.map { PeerAddress(it.host, it.ip, it.peerPort, it.region) }.associateBy { it.host }
        heard.keys.removeAll(listed.keys)
    }

    /** Remembers where a host that is on no list yet sent from, so that it can be answered. */
    fun heardFrom(host: HostId, ip: String, port: Int) {
        if (host in listed || heard.size >= MAX_HEARD) return
        heard[host] = PeerAddress(host, ip, port, region = null)
    }

    fun find(host: HostId): PeerAddress? = listed[host] ?: heard[host] ?: seedPeers[host]

    private companion object {
        const val MAX_HEARD = 2_048
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
