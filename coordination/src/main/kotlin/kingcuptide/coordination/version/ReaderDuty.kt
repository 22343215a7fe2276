package kingcuptide.coordination.version

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a peer said of how it reads the source.
 *
 * @property rank how well it reads, less is better; negative if it doesn't read
 * @property contactAge time since it knew that what it holds was current
 */
public data class ReaderClaim(
    val host: String,
    val rank: Int,
    val contactAge: Duration,
)

/**
 * Decides whether this daemon reads the source itself.
 *
 * The best [READERS] of those that read go on, the others stop; who hears of too few starts. Daemons that disagree for a
 * while cost only calls.
 */
public class ReaderDuty(
    private val ownHost: String,
) {
    /** Whether this daemon reads. */
    public var reads: Boolean = true
        private set

    /** Whether this daemon reads at the full pace; a second one keeps in contact at half of it. */
    public var isFirst: Boolean = true
        private set

    /** Decides anew from the [claims] of live peers, this daemon's own rank and the [age] of what it knows. */
    public fun decide(claims: List<ReaderClaim>, ownRank: Int, age: Duration): Boolean {
        val readers = claims.filter { it.rank >= 0 && it.contactAge <= FRESH_CONTACT }
        val better = readers.count { it.rank < ownRank || (it.rank == ownRank && it.host < ownHost) }
        val enough = if (reads) better >= READERS else readers.size >= READERS
        reads = !enough || age > STALE
        isFirst = reads && (better == 0 || age > STALE)
        return reads
    }

    public companion object {
        /** Daemons that read at a time: one could be lost. */
        public const val READERS: Int = 2

        /** Age of its last contact up to which a reader is believed to read. */
        public val FRESH_CONTACT: Duration = 1_500.milliseconds

        /** Age of what is known from which a daemon reads whoever else does. */
        public val STALE: Duration = 2_500.milliseconds
    }
}
