package kingcuptide.forwarder.version

import kingcuptide.coordination.process.RegionId
import kingcuptide.forwarder.connection.StatePeer

/** The other daemons that are connected. */
interface PeerGroup {
    /** Returns one connection to each. */
    fun sessions(): Collection<StatePeer>

    fun regionOf(peer: StatePeer): RegionId?

    val ownRegion: RegionId
}
