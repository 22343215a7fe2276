package kingcuptide.forwarder.version

import kingcuptide.coordination.process.Clock
import kingcuptide.forwarder.connection.StatePeer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What this daemon lacks of the published state, and which peers have it.
 *
 * Peers of the own region are asked at once, one after the other; those of other regions only if that has not helped.
 * Used on the event loop.
 */
internal class StateGap(
    private val clock: Clock,
    private val isSameRegion: (StatePeer) -> Boolean,
) {
    private val timesAsked = LinkedHashMap<StatePeer, Int>()
    private var wanted = emptyList<Long>()
    private var since: Duration? = null
    private var askedAt = -Duration.INFINITE

    /** Whether a peer is known to be ahead. */
    val isOpen: Boolean get() = since != null

    /** Records that [peer] is complete up to [asOf] in each section. */
    fun offered(peer: StatePeer, asOf: List<Long>) {
        if (since == null) since = clock.now()
        wanted = asOf.mapIndexed { index, revision -> maxOf(revision, wanted.getOrElse(index) { 0 }) }
        timesAsked.putIfAbsent(peer, 0)
    }

    /** Closes the gap if this daemon, complete up to [held] in each section, has all that was offered. */
    fun closeIfFilled(held: List<Long>) {
        if (wanted.withIndex().any { (index, revision) -> held.getOrElse(index) { 0 } < revision }) return
        since = null
        wanted = emptyList()
        timesAsked.clear()
    }

    /** Returns the peer to be asked now, which is then counted as asked, or null. */
    fun nextToAsk(): StatePeer? {
        if (!mayAsk()) return null
        timesAsked.keys.removeAll { !it.isOpen }
        val age = since?.let { clock.now() - it } ?: return null
        val askable = timesAsked.keys.filter { isSameRegion(it) || age >= OTHER_REGION_DELAY }
        val peer = askable.minByOrNull { timesAsked.getValue(it) } ?: return null
        timesAsked[peer] = timesAsked.getValue(peer) + 1
        asked()
        return peer
    }

    /** Returns whether the last request was long enough ago. */
    fun mayAsk(): Boolean = clock.now() - askedAt >= MIN_REQUEST_INTERVAL

    /** Records that a peer is asked now. */
    fun asked() {
        askedAt = clock.now()
    }

    private companion object {
        /** Shortest time between two requests. */
        val MIN_REQUEST_INTERVAL = 300.milliseconds

        /** Time for peers of the own region to send what is missing before one of another region gets a request. */
        val OTHER_REGION_DELAY = 400.milliseconds
    }
}
