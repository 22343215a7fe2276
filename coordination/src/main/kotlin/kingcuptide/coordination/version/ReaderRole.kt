package kingcuptide.coordination.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.FaultTolerance
import kingcuptide.coordination.process.RegionId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether this daemon reads the source itself.
 *
 * The best of the reading daemons keep the role, as many as the [tolerance] asks for, and the others give it up. If there
 * are too few readers, the best idle daemons acquire the role. While daemons disagree, the only cost is additional calls.
 *
 * Readers are spread over regions and failure domains, so that one is left after any loss that is tolerated. A reader that
 * is left announces the next change at once; one that had to be replaced first would be missed for seconds.
 */
public class ReaderRole(
    private val ownHost: String,
    private val ownDomain: FailureDomainId? = null,
    private val ownRegion: RegionId? = null,
    private val tolerance: FaultTolerance = FaultTolerance(),
) {
    private val maxStateAge = MIN_STALE_AGE + STALE_AGE_STEP * ownHost.hashCode().mod(STALE_AGE_STEPS)

    private var hasResigned = false

    /** Whether this daemon reads the source. */
    public var readsSource: Boolean = true
        private set

    /** Gives up the role for good, as far as peers keep the state up to date: a daemon that stops reads for nobody. */
    public fun resign() {
        hasResigned = true
    }

    /** Decides from the [reports] of live peers, the own rank and the [age] of the state; returns [readsSource]. */
    public fun decide(reports: List<ReaderReport>, ownRank: Int, age: Duration): Boolean {
        val own = ReaderReport(ownHost, ownRank, ReaderState.IDLE, age, ownDomain, ownRegion)
        val readers = reports.filter { it.state == ReaderState.READING && it.contactAge <= MAX_CONTACT_AGE }
        val isNeeded = when {
            hasResigned -> false
            readsSource -> own in best(readers + own, tolerance.copies)
            else -> own in starters(readers, reports.filter { it.state == ReaderState.IDLE } + own)
        }
        readsSource = isNeeded || age > maxStateAge
        return readsSource
    }

    /** Returns those of [idle] that should start to read beside [readers]. */
    private fun starters(readers: List<ReaderReport>, idle: List<ReaderReport>): List<ReaderReport> =
        startersElsewhere(readers, idle, tolerance.spreadRegions) { it.region }
            ?: startersElsewhere(readers, idle, tolerance.spreadDomains, ::domainOf)
            ?: best(idle, maxOf(0, tolerance.copies - readers.size) * STARTERS_PER_READER)

    /**
     * Returns the best of those [idle] daemons that are of other groups than all [readers], or null if the readers are of
     * [wanted] groups, or of all there are.
     */
    private fun startersElsewhere(
        readers: List<ReaderReport>,
        idle: List<ReaderReport>,
        wanted: Int,
        groupOf: (ReaderReport) -> Any?,
    ): List<ReaderReport>? {
        val covered = readers.mapTo(HashSet(), groupOf)
        val elsewhere = idle.filter { groupOf(it) !in covered }
        val missing = wanted - covered.size
        return if (missing <= 0 || elsewhere.isEmpty()) null else best(elsewhere, missing * STARTERS_PER_READER)
    }

    /**
     * Returns the [count] best of [reports]: the best of each region, as far as the tolerance asks for, go before the best
     * of each failure domain, and these before all others.
     */
    private fun best(reports: List<ReaderReport>, count: Int): List<ReaderReport> {
        val sorted = reports.sortedWith(NEAREST_FIRST)
        val ofRegions = sorted.distinctBy { it.region }.take(tolerance.spreadRegions)
        val ofDomains = (ofRegions + sorted).distinctBy(::domainOf)
        return (ofRegions + ofDomains + sorted).distinct().take(count)
    }

    private fun domainOf(report: ReaderReport): Any = report.failureDomain ?: report.host

    public companion object {
        /** Maximum contact age of a reader that counts as reading. */
        public val MAX_CONTACT_AGE: Duration = 1_500.milliseconds

        /** Minimum age of its state from which a daemon reads the source whatever its peers do. */
        public val MIN_STALE_AGE: Duration = 2_500.milliseconds

        /** Daemons whose state becomes stale together start in steps, so that the first can update the rest. */
        private val STALE_AGE_STEP = 150.milliseconds
        private const val STALE_AGE_STEPS = 8

        /** Age of its state by which every daemon reads the source. */
        public val MAX_STALE_AGE: Duration = MIN_STALE_AGE + STALE_AGE_STEP * (STALE_AGE_STEPS - 1)

        private val NEAREST_FIRST = compareBy(ReaderReport::rank, ReaderReport::host)

        /** Idle daemons that start for each missing reader, since the first may not reach the source either. */
        private const val STARTERS_PER_READER = 2
    }
}
