package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.TargetId
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Measures the demand of the callers of this daemon, and sums that of others by failure domain. Not thread-safe. */
internal class DomainDemand(private val ownDomain: FailureDomainId) {
    /** Averages over two times. */
    private class Meter(private var at: Duration) {
        private var short = 0.0
        private var long = 0.0
        private var variance = 0.0

        fun record(work: Duration, now: Duration) {
            decay(now)
            short += work / SHORT_TIME
            long += work / LONG_TIME
            variance += (work / SHORT_TIME) * (work / SHORT_TIME)
        }

        fun estimate(now: Duration): DemandEstimate {
            decay(now)
            return DemandEstimate(long, short - long, variance)
        }

        private fun decay(now: Duration) {
            val factor = exp(-((now - at) / SHORT_TIME))
            short *= factor
            variance *= factor * factor
            long *= exp(-((now - at) / LONG_TIME))
            at = now
        }
    }

    private class Report(val domain: FailureDomainId, val demand: Demand, val at: Duration)

    private class Sums(val at: Duration, val byDomain: Map<FailureDomainId, Double>)

    private val meters = LinkedHashMap<DemandPool, Meter>()
    private val reports = HashMap<TargetId, Report>()
    private val sums = HashMap<DemandPool, Sums>()

    /** Records a request of a caller in [pool] that occupies a slot of a mean target for [work]. */
    fun requested(pool: DemandPool, work: Duration, now: Duration) {
        val meter = meters.remove(pool) ?: Meter(now)
        meter.record(work, now)
        meters[pool] = meter
        if (meters.size > MAX_POOLS) meters.remove(meters.keys.first())
    }

    /** Returns the demand of the callers of this daemon. */
    fun own(now: Duration): Demand =
        meters.entries.associate { (pool, meter) -> pool.key to meter.estimate(now) }.filterValues { it.mean > 0 }

    /** Records the [demand] of the daemon beside [reporter] in [domain]; one with a value out of range is ignored. */
    fun record(reporter: TargetId, domain: FailureDomainId, demand: Demand, now: Duration) {
        if (demand.size > MAX_POOLS || !demand.values.all { it.isValid() }) return
        reports[reporter] = Report(domain, demand, now)
    }

    /** Drops the reports of all daemons but those beside [ids]. */
    fun retain(ids: Set<TargetId>) {
        reports.keys.retainAll(ids)
    }

    /** Returns the demand for [service] by pool and failure domain; only pools that callers of this daemon have used. */
    fun of(service: ServiceId, now: Duration): Map<DemandPool, Map<FailureDomainId, Double>> =
        meters.keys.filter { it.service == service }.associateWith { of(it, now) }.filterValues { it.isNotEmpty() }

    /** Returns the demand of [pool] by failure domain, empty without recent reports. */
    fun of(pool: DemandPool, now: Duration): Map<FailureDomainId, Double> {
        sums[pool]?.takeIf { now - it.at < MAX_SUMS_AGE }?.let { return it.byDomain }
        val estimates = HashMap<FailureDomainId, DemandEstimate>()
        for (report in reports.values) {
            if (now - report.at > MAX_REPORT_AGE) continue
            estimates.merge(report.domain, report.demand[pool.key] ?: DemandEstimate.NONE, DemandEstimate::plus)
        }
        val own = meters[pool]?.estimate(now) ?: DemandEstimate.NONE
        if (estimates.isNotEmpty()) estimates.merge(ownDomain, own, DemandEstimate::plus)
        val byDomain = estimates.mapValues { it.value.expected(TRENDS_AHEAD) }
        if (sums.size >= MAX_POOLS) sums.clear()
        sums[pool] = Sums(now, byDomain)
        return byDomain
    }

    companion object {
        /** Greatest number of pools in a report. */
        const val MAX_POOLS = 16

        /** Times over which the own demand is averaged, and the usual age of a report when it is used. */
        private val SHORT_TIME = 1.seconds
        private val LONG_TIME = 5.seconds
        private val REPORT_AGE = 2.seconds

        /** Trends between the long average and the demand at the time when a report is used, if it grows steadily. */
        private val TRENDS_AHEAD = 1 + (SHORT_TIME + REPORT_AGE) / (LONG_TIME - SHORT_TIME)

        /** Age from which a report is unknown; longer than several lost pings. */
        private val MAX_REPORT_AGE = 10.seconds

        /** Sums are computed again at this interval and not for each request, to save processor time. */
        private val MAX_SUMS_AGE = 200.milliseconds
    }
}
