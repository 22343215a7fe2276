package kingcuptide.coordination.version

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether this daemon reads the source itself.
 *
 * The best [READERS] of those that read go on, the others stop. If there are too few, the best of the idle ones start.
 * Daemons that disagree for a while cost only calls.
 */
public class ReaderRole(
    private val ownHost: String,
) {
    private val patience = STALE + STALE_STEP * ownHost.hashCode().mod(STALE_STEPS)

    /** Whether this daemon reads. */
    public var readsSource: Boolean = true
        private set

    /** Decides anew from the [claims] of live peers, this daemon's own rank and the [age] of what it knows. */
    public fun decide(claims: List<ReaderReport>, ownRank: Int, age: Duration): Boolean {
        val own = ReaderReport(ownHost, ownRank, ReaderState.IDLE, age)
        val readers = claims.filter { it.state == ReaderState.READING && it.contactAge <= FRESH_CONTACT }
        val better = readers.count { isBefore(it, own) }
        val nextInLine = claims.count { it.state == ReaderState.IDLE && isBefore(it, own) }
        val enough = if (readsSource) better >= READERS else readers.size + nextInLine / STARTERS >= READERS
        readsSource = !enough || age > patience
        return readsSource
    }

    private fun isBefore(first: ReaderReport, second: ReaderReport): Boolean =
        first.rank < second.rank || (first.rank == second.rank && first.host < second.host)

    public companion object {
        /** Daemons that read at a time: one could be lost. */
        public const val READERS: Int = 2

        /** Age of its last contact up to which a reader is believed to read. */
        public val FRESH_CONTACT: Duration = 1_500.milliseconds

        /** Age of what is known from which a daemon reads whoever else does, at the earliest. */
        public val STALE: Duration = 2_500.milliseconds

        /** Daemons that turn stale together start one after the other: the first of them tells the rest. */
        private val STALE_STEP = 150.milliseconds
        private const val STALE_STEPS = 8

        /** Age of what is known by which every daemon reads. */
        public val LONGEST_PATIENCE: Duration = STALE + STALE_STEP * (STALE_STEPS - 1)

        /** Idle daemons that start for each reader that is missing: the first of them may not reach the source either. */
        private const val STARTERS = 2
    }
}
