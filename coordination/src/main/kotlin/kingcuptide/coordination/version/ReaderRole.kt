package kingcuptide.coordination.version

import kingcuptide.coordination.process.FailureDomainId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether this daemon reads the source itself.
 *
 * The best [READERS] of the reading daemons keep the role and the others give it up. If there are too few
 * readers, the best idle daemons acquire the role. While daemons disagree, the only cost is additional calls.
 *
 * Readers are of different failure domains if there are several, since a domain may lose its path to the source as a whole.
 */
public class ReaderRole(
    private val ownHost: String,
    private val ownDomain: FailureDomainId? = null,
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
        val own = ReaderReport(ownHost, ownRank, ReaderState.IDLE, age, ownDomain)
        val readers = reports.filter { it.state == ReaderState.READING && it.contactAge <= MAX_CONTACT_AGE }
        val isNeeded = when {
            hasResigned -> false
            readsSource -> own in best(readers + own, READERS)
            else -> own in starters(readers, reports.filter { it.state == ReaderState.IDLE } + own)
        }
        readsSource = isNeeded || age > maxStateAge
        return readsSource
    }

    /** Returns those of [idle] that should start to read beside [readers], the first in a domain without reader. */
    private fun starters(readers: List<ReaderReport>, idle: List<ReaderReport>): List<ReaderReport> {
        val domains = readers.mapTo(HashSet(), ::domainOf)
        val inOtherDomains = idle.filter { domainOf(it) !in domains }
        val missing = READERS - if (inOtherDomains.isEmpty()) readers.size else domains.size
        return best(inOtherDomains.ifEmpty { idle }, maxOf(0, missing) * STARTERS_PER_READER)
    }

    /** Returns the [count] best of [reports]: the best of each domain go before all others. */
    private fun best(reports: List<ReaderReport>, count: Int): List<ReaderReport> {
        val sorted = reports.sortedWith(NEAREST_FIRST)
        val ofDomains = sorted.distinctBy(::domainOf)
        return (ofDomains + (sorted - ofDomains.toSet())).take(count)
    }

    private fun domainOf(report: ReaderReport): Any = report.failureDomain ?: report.host

    public companion object {
        /** Daemons that read at the same time; two, since one may fail. */
        public const val READERS: Int = 2

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
