package kingcuptide.forwarder.request

import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.request.TargetState
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.PeerMessage

/**
 * What this daemon tells others about the target beside it: until their state is confirmed, they send requests only to
 * targets that are told to be in use.
 *
 * After a restart this daemon's own state may be old, too. Until it is confirmed, it must have heard from another daemon and
 * hold all that such daemons had. Used on the event loop.
 *
 * @param asOf revisions up to which this daemon holds each section of the published state
 * @param peerPings the latest ping of each daemon that is connected
 */
internal class OwnTargetUse(
    private val published: PublishedState,
    private val gate: TargetGate,
    private val targetId: () -> TargetId?,
    private val asOf: () -> List<Long>,
    private val peerPings: () -> List<PeerMessage.Ping>,
) {
    private var announced: TargetId? = null

    /** Returns the target beside this daemon if it responds and is known to be in use, or null. */
    fun inUse(): TargetId? {
        val id = targetId() ?: return null
        if (gate.state != TargetState.OPEN || published.target(id) == null) return null
        return id.takeIf { published.isConfirmed || isAsNewAsPeers() }
    }

    /** Returns whether a target is in use that was not when this was last called. */
    fun hasBegun(): Boolean {
        val before = announced
        announced = inUse()
        return announced != null && announced != before
    }

    private fun isAsNewAsPeers(): Boolean {
        val pings = peerPings()
        if (pings.isEmpty()) return false
        val held = asOf()
        return pings.all { ping -> held.withIndex().all { (index, own) -> own >= ping.asOf.getOrElse(index) { 0 } } }
    }
}
