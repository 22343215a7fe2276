package kingcuptide.forwarder.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.ReaderReport
import kingcuptide.coordination.version.ReaderRole
import kingcuptide.coordination.version.ReaderState
import kingcuptide.forwarder.connection.PeerMesh
import kingcuptide.forwarder.connection.PingingPeer
import kingcuptide.forwarder.connection.StatePeer
import kingcuptide.forwarder.process.eventLog
import kotlin.time.Duration.Companion.milliseconds

/**
 * Collects the reader reports of [peers] and updates [readerRole] from them. Used on the event loop.
 *
 * @param pingNow pings all peers without waiting for the next interval
 */
internal class ReaderRoleMonitor(
    private val clock: Clock,
    private val readerRole: ReaderRole,
    private val published: PublishedState,
    private val follower: SourceFollower,
    private val ownRegion: RegionId,
    private val regionOf: (StatePeer) -> RegionId?,
    private val peers: () -> Collection<PingingPeer>,
    private val pingNow: () -> Unit,
) {
    private var advertisedState = ReaderState.TRYING

    /** Rank by connect time to the source. The lowest reads first: it is near, so that the bytes cross no region. */
    val ownRank: Int get() =
        follower.connectTime?.inWholeMilliseconds?.div(CONNECT_TIME_STEP_MS)?.toInt() ?: UNKNOWN_RANK

    /** The reader state that pings advertise. */
    val ownState: ReaderState get() = when {
        !readerRole.readsSource -> ReaderState.IDLE
        follower.isInContact -> ReaderState.READING
        else -> ReaderState.TRYING
    }

    /** Called a few times a second. */
    fun tick() {
        decide()
        val state = ownState
        if (state != advertisedState && ReaderState.READING in setOf(state, advertisedState)) pingNow()
        advertisedState = state
    }

    private fun decide() {
        val before = readerRole.readsSource
        if (readerRole.decide(peers().mapNotNull(::reportOf), ownRank, published.age()) == before) {
            return
        }
        log.info("reader_duty", "reads" to readerRole.readsSource, "age_ms" to published.age().inWholeMilliseconds)
    }

    /**
     * Returns null for a peer that stops, since it has resigned, and for one whose ping is overdue, since it may have lost
     * power: these neither count as readers nor as successors.
     */
    private fun reportOf(peer: PingingPeer): ReaderReport? {
        val ping = peer.lastPing?.takeUnless { it.leaving } ?: return null
        val pingAgeMs = (clock.now() - peer.lastPingAt).inWholeMilliseconds
        val region = regionOf(peer)
        val maxPingAgeMs =
            if (region == ownRegion) MAX_PING_AGE_MS else MAX_PING_AGE_MS * PeerMesh.PINGS_PER_REMOTE_PING
        if (pingAgeMs > maxPingAgeMs + MAX_PING_DELAY_MS) return null
        val ageMs = (if (ping.contactAgeMs < 0) NEVER_AGE_MS else ping.contactAgeMs) + pingAgeMs - maxPingAgeMs
        val state = ReaderState.entries.getOrNull(ping.readerState) ?: return null
        val host = peer.host.orEmpty()
        return ReaderReport(host, ping.readerRank, state, ageMs.milliseconds, peer.failureDomain, region)
    }

    private companion object {
        /** Age of a ping of the own region when the next one arrives; this is not counted as age of the contact. */
        const val MAX_PING_AGE_MS = 1_000L

        /**
         * Delay after which a ping is overdue. A reader that falls silent is replaced within 2 s, the shortest time that users
         * allow for a change: this and the age of a ping, a tick, a check of the role, and the first watch.
         */
        const val MAX_PING_DELAY_MS = 500L
        const val CONNECT_TIME_STEP_MS = 10L
        const val NEVER_AGE_MS = 1_000_000_000L
        const val UNKNOWN_RANK = 1_000_000
        val log = eventLog("daemon")
    }
}
