package kingcuptide.forwarder.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.version.FleetPicture
import kingcuptide.coordination.version.ReaderClaim
import kingcuptide.coordination.version.ReaderDuty
import kingcuptide.forwarder.connection.PeerMesh
import kingcuptide.forwarder.connection.PeerSession
import kingcuptide.forwarder.process.eventLog
import kotlin.time.Duration.Companion.milliseconds

/** Gathers what peers say of how they read the source, and has [duty] decided anew. Used on the event loop. */
internal class DutyWatch(
    private val clock: Clock,
    private val duty: ReaderDuty,
    private val picture: FleetPicture,
    private val follower: SourceFollower,
    private val mesh: PeerMesh,
    private val isNear: (PeerSession) -> Boolean,
) {
    /** How well this daemon reads, to be told to peers; negative if it doesn't. */
    val claimedRank: Int get() = if (duty.reads && follower.isInContact) ownRank() else -1

    /** Called a few times a second. */
    fun tick() {
        val before = duty.reads
        if (duty.decide(mesh.ownSessions().mapNotNull(::claimOf), ownRank(), picture.age()) == before) return
        log.info("reader_duty", "reads" to duty.reads, "age_ms" to picture.age().inWholeMilliseconds)
    }

    private fun claimOf(session: PeerSession): ReaderClaim? {
        val ping = session.lastPing ?: return null
        if (ping.contactAgeMs < 0) return null
        val sinceMs = (clock.now() - session.lastPingAt).inWholeMilliseconds
        val allowanceMs = if (isNear(session)) PING_ALLOWANCE_MS else PING_ALLOWANCE_MS * PeerMesh.FAR_PINGS
        val ageMs = ping.contactAgeMs + sinceMs - allowanceMs
        return ReaderClaim(session.peer?.host.orEmpty(), ping.readerRank, ageMs.milliseconds)
    }

    /** Readers near the source come first: their reads cross no region. */
    private fun ownRank(): Int = follower.readTime?.inWholeMilliseconds?.div(READ_TIME_STEP_MS)?.toInt() ?: UNKNOWN_RANK

    private companion object {
        /** A ping is up to this old when the next one comes. */
        const val PING_ALLOWANCE_MS = 1_000L
        const val READ_TIME_STEP_MS = 10L
        const val UNKNOWN_RANK = 1_000_000
        val log = eventLog("daemon")
    }
}
