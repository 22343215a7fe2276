package kingcuptide.forwarder.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.ReaderReport
import kingcuptide.coordination.version.ReaderRole
import kingcuptide.coordination.version.ReaderState
import kingcuptide.forwarder.connection.PeerMesh
import kingcuptide.forwarder.connection.PeerSession
import kingcuptide.forwarder.process.eventLog
import kotlin.time.Duration.Companion.milliseconds

/** Gathers what peers say of how they read the source, and has [duty] decided anew. Used on the event loop. */
internal class ReaderRoleMonitor(
    private val clock: Clock,
    private val duty: ReaderRole,
    private val picture: PublishedState,
    private val follower: SourceFollower,
    private val mesh: PeerMesh,
    private val isNear: (PeerSession) -> Boolean,
) {
    private var toldState = ReaderState.TRYING

    /** How near the source this daemon is: who is near it reads first, since the bytes then cross no region. */
    val ownRank: Int get() = follower.reachTime?.inWholeMilliseconds?.div(REACH_STEP_MS)?.toInt() ?: UNKNOWN_RANK

    /** What peers are to know of this daemon. */
    val ownState: ReaderState get() = when {
        !duty.readsSource -> ReaderState.IDLE
        follower.isInContact -> ReaderState.READING
        else -> ReaderState.TRYING
    }

    /** Called a few times a second. */
    fun tick() {
        decide()
        val state = ownState
        if (state != toldState && ReaderState.READING in setOf(state, toldState)) mesh.pingNow()
        toldState = state
    }

    private fun decide() {
        val before = duty.readsSource
        if (duty.decide(mesh.ownSessions().mapNotNull(::claimOf), ownRank, picture.age()) == before) return
        log.info("reader_duty", "reads" to duty.readsSource, "age_ms" to picture.age().inWholeMilliseconds)
    }

    private fun claimOf(session: PeerSession): ReaderReport? {
        val ping = session.lastPing ?: return null
        val sinceMs = (clock.now() - session.lastPingAt).inWholeMilliseconds
        val allowanceMs = if (isNear(session)) PING_ALLOWANCE_MS else PING_ALLOWANCE_MS * PeerMesh.FAR_PINGS
        val ageMs = (if (ping.contactAgeMs < 0) NEVER_MS else ping.contactAgeMs) + sinceMs - allowanceMs
        val state = ReaderState.entries.getOrNull(ping.readerState) ?: return null
        return ReaderReport(session.peer?.host.orEmpty(), ping.readerRank, state, ageMs.milliseconds)
    }

    private companion object {
        /** A ping is up to this old when the next one comes. */
        const val PING_ALLOWANCE_MS = 1_000L
        const val REACH_STEP_MS = 10L
        const val NEVER_MS = 1_000_000_000L
        const val UNKNOWN_RANK = 1_000_000
        val log = eventLog("daemon")
    }
}
