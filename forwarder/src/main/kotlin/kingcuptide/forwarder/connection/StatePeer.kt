package kingcuptide.forwarder.connection

import kingcuptide.coordination.process.FailureDomainId
import kotlin.time.Duration

/** Another daemon with which the published state is exchanged. */
interface StatePeer {
    /** Failure domain of its host; null until its hello has arrived. */
    val failureDomain: FailureDomainId?

    val isOpen: Boolean

    /** When the last bytes from it arrived. */
    val lastReceivedAt: Duration

    fun send(message: PeerMessage)
}

/** Another daemon that sends pings, which say whether it reads the source. */
interface PingingPeer : StatePeer {
    /** Name of its host; null until its hello has arrived. */
    val host: String?

    /** The most recent ping, or null before the first. */
    val lastPing: PeerMessage.Ping?

    /** When [lastPing] arrived. */
    val lastPingAt: Duration
}
