package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.TargetId
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Statistics of one target. [reportedAt] is the time of the latest load report, [loadReport]. */
public class TargetRecord {
    internal var loadReport: GateLoadReport? = null
    internal var reportedAt: Duration = Duration.ZERO
    internal var ratePerSecond: Double? = null
    internal var ratedAt: Duration = Duration.ZERO
    internal var sentSinceReport = 0
    internal var outstanding = 0
    internal var failureRate = 0.0
    internal var failureRateAt: Duration = Duration.ZERO
    internal var runTimeRatio = 1.0
    internal var ejectedUntil: Duration = Duration.ZERO
}

/**
 * Properties of a request for which a target is chosen.
 *
 * @property untilObjective remaining time until its response loses most of its value
 * @property untilDeadline remaining time until its caller gives up
 * @property bodyBytes length of the request body
 * @property tried targets to which this request has already been sent
 */
public data class PickRequest(
    val route: RouteId,
    val objective: Duration,
    val untilObjective: Duration,
    val untilDeadline: Duration,
    val bodyBytes: Int,
    val tried: Set<TargetId>,
)

/**
 * Chooses the target of a request at the daemon that received it from its caller.
 *
 * The score of a candidate is its probability of a response within the objective, less a penalty for the network path,
 * so near targets are preferred as long as they have capacity. Not thread-safe.
 */
public class TargetPicker(
    private val clock: Clock,
    private val location: DaemonLocation,
    private val random: Random,
) {
    private val records = HashMap<TargetId, TargetRecord>()
    private val averages = RouteAverages()

    /** Returns the candidate with the best score among those not tried yet, or null if there is none. */
    public fun pick(candidates: List<KnownTarget>, request: PickRequest): KnownTarget? {
        val now = clock.now()
        val untried = candidates.filter { it.entry.id !in request.tried }
        if (untried.size <= 1) return untried.firstOrNull()
        val available = untried.filter { recordOf(it.entry.id).ejectedUntil <= now }.ifEmpty { untried }
        return available.maxBy { scoreOf(it, request, now) + random.nextDouble() * MAX_TIE_BREAK }
    }

    /** Records that a request was sent to [id]. */
    public fun sent(id: TargetId) {
        val record = recordOf(id)
        record.sentSinceReport++
        record.outstanding++
    }

    /** Records a load report of the gate of [id]. */
    public fun recordLoadReport(id: TargetId, report: GateLoadReport) {
        val record = recordOf(id)
        record.loadReport = report
        record.reportedAt = clock.now()
        record.sentSinceReport = 0
        if (report.ratePerSecond != null) recordRate(id, report.ratePerSecond)
    }

    /**
     * Records the rate that the gate of [id] knows after a response of its target; null if the target names none.
     *
     * A load report without a rate does not end the rate by itself: a gate that has just started knows none.
     */
    public fun recordRate(id: TargetId, perSecond: Double?) {
        val record = recordOf(id)
        record.ratePerSecond = perSecond
        record.ratedAt = clock.now()
    }

    /** Returns the rate that [id] was last known to name, or null if it named none or that was too long ago. */
    public fun lastRate(id: TargetId): Double? {
        val record = records[id] ?: return null
        return record.ratePerSecond.takeIf { clock.now() - record.ratedAt <= MAX_RATE_AGE }
    }

    /** Records a response of the target after it ran for [ran]; [successful] is false if the response was a failure. */
    public fun answered(
        id: TargetId,
        route: RouteId,
        objective: Duration,
        ran: Duration,
        bytes: Int,
        successful: Boolean,
    ) {
        val record = recordOf(id)
        record.outstanding--
        recordOutcome(record, if (successful) 0.0 else 1.0)
        if (!successful) return
        val expectedRun = averages.expectedRunTime(route, objective)
        val ratio = (ran / expectedRun).coerceIn(MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO)
        record.runTimeRatio += (ratio - record.runTimeRatio) * RUN_TIME_RATIO_SMOOTHING
        averages.recordRunTime(route, ran)
        averages.recordResponseBytes(route, bytes)
    }

    /** Records that the gate refused a request before it ran: its target is full, cold or, if [closed], not in use. */
    public fun refused(id: TargetId, closed: Boolean) {
        val record = recordOf(id)
        record.outstanding--
        if (closed) record.ejectedUntil = clock.now() + CLOSED_EJECTION_TIME
    }

    /** Records a request whose outcome is unknown or that the target itself refused. */
    public fun failed(id: TargetId) {
        val record = recordOf(id)
        record.outstanding--
        recordOutcome(record, 1.0)
    }

    /** Records that a request was abandoned before its result was known. */
    public fun abandoned(id: TargetId) {
        recordOf(id).outstanding--
    }

    /** Drops the statistics of all targets except [ids]. */
    public fun retain(ids: Set<TargetId>) {
        records.keys.retainAll(ids)
    }

    /** Returns the failure rate, which decays with time, so that a target that is healthy again gets requests. */
    private fun failureRateOf(record: TargetRecord, now: Duration): Double =
        record.failureRate * HALF.pow((now - record.failureRateAt) / FAILURE_HALF_LIFE)

    private fun recordOutcome(record: TargetRecord, failed: Double) {
        val now = clock.now()
        val currentRate = failureRateOf(record, now)
        record.failureRate = currentRate + (failed - currentRate) * FAILURE_SMOOTHING
        record.failureRateAt = now
        if (failed > 0 && record.failureRate > EJECTION_FAILURE_RATE) {
            record.ejectedUntil = clock.now() + FAILING_EJECTION_TIME
            record.failureRate = FAILURE_RATE_AFTER_EJECTION
        }
    }

    private fun scoreOf(target: KnownTarget, request: PickRequest, now: Duration): Double {
        val record = recordOf(target.entry.id)
        val path = pathTo(target.entry.failureDomain)
        val runTime = averages.expectedRunTime(request.route, request.objective) * record.runTimeRatio
        val completionTime = expectedWait(target, record, runTime, now) + runTime + path.roundTrip
        val onTimeProbability = probabilityWithin(completionTime, request.untilObjective)
        val inTimeProbability = probabilityWithin(completionTime, request.untilDeadline)
        val expectedValue = onTimeProbability * (1 - LATE_VALUE) + inTimeProbability * LATE_VALUE
        val successValue = expectedValue * (1 - failureRateOf(record, now)).pow(FAILURE_EXPONENT)
        val bytes = request.bodyBytes + averages.expectedResponseBytes(request.route) + HEADER_BYTES
        val penalty = completionTime / maxOf(request.objective, MIN_OBJECTIVE) * COMPLETION_TIME_PENALTY
        return successValue - path.penaltyPerByte * bytes - penalty
    }

    private fun expectedWait(target: KnownTarget, record: TargetRecord, runTime: Duration, now: Duration): Duration {
        val report =
            record.loadReport ?: return runTime * (record.outstanding.toDouble() / maxOf(1, target.entry.slots))
        val limit = maxOf(1, report.limit)
        val reportAge = now - record.reportedAt
        val reportWeight = (1 - reportAge / MAX_LOAD_REPORT_AGE).coerceIn(0.0, 1.0)
        val load = (report.inFlight + report.queued) * reportWeight + record.sentSinceReport
        val slotWait = if (load < limit) Duration.ZERO else runTime * ((load - limit + 1) / limit)
        val rateWait = report.ratePerSecond?.let { expectedRateWait(record, report, it, reportAge) } ?: Duration.ZERO
        return maxOf(slotWait, report.wait * reportWeight, rateWait)
    }

    /** The wait at a target with a named rate ends by its rate alone, however old the report is. */
    private fun expectedRateWait(
        record: TargetRecord,
        report: GateLoadReport,
        ratePerSecond: Double,
        reportAge: Duration,
    ): Duration {
        if (ratePerSecond == 0.0) return MAX_RATE_WAIT
        val reportedWait = (report.wait - reportAge).coerceAtLeast(Duration.ZERO)
        return minOf(reportedWait + 1.seconds * (record.sentSinceReport / ratePerSecond), MAX_RATE_WAIT)
    }

    /** Returns the probability that a request expected to take [completionTime] ends within [limit]. */
    private fun probabilityWithin(completionTime: Duration, limit: Duration): Double {
        if (limit <= Duration.ZERO) return 0.0
        return ((LATE_RATIO - completionTime / limit) / (LATE_RATIO - ON_TIME_RATIO)).coerceIn(0.0, 1.0)
    }

    private fun pathTo(failureDomain: FailureDomainId): NetworkPath = when (location.distanceTo(failureDomain)) {
        Distance.SAME_DOMAIN -> NetworkPath.SAME_DOMAIN
        Distance.SAME_REGION -> NetworkPath.SAME_REGION
        Distance.OTHER_REGION -> NetworkPath.OTHER_REGION
    }

    private fun recordOf(id: TargetId): TargetRecord = records.getOrPut(id) { TargetRecord() }

    /** Network path to a target: its usual round trip, and the penalty of a byte as a share of a request's value. */
    private enum class NetworkPath(val roundTrip: Duration, val penaltyPerByte: Double) {
        SAME_DOMAIN(1.milliseconds, 0.0),
        SAME_REGION(3.milliseconds, 2e-5),
        OTHER_REGION(25.milliseconds, 8e-5),
    }

    private companion object {
        const val MAX_TIE_BREAK = 0.02

        /** Estimated length of the headers of request and response together. */
        const val HEADER_BYTES = 500.0
        const val RUN_TIME_RATIO_SMOOTHING = 0.1
        const val FAILURE_SMOOTHING = 0.15
        const val FAILURE_EXPONENT = 1.5
        const val HALF = 0.5

        /** Half-life of the failure rate while nothing is sent to the target. */
        val FAILURE_HALF_LIFE = 1_200.milliseconds
        const val MIN_RUN_TIME_RATIO = 0.2
        const val MAX_RUN_TIME_RATIO = 10.0

        /** Value of a response after the objective, as a share of one within it. */
        const val LATE_VALUE = 0.3

        /** Penalty for a completion time of one objective; prefers the faster of two targets that are both in time. */
        const val COMPLETION_TIME_PENALTY = 0.05
        val MIN_OBJECTIVE = 1.milliseconds

        /** Ratio of expected time to limit up to which success is certain, and from which it is impossible. */
        const val ON_TIME_RATIO = 0.6
        const val LATE_RATIO = 1.4

        /** Failure rate above which a target is ejected, and its assumed failure rate after the ejection. */
        const val EJECTION_FAILURE_RATE = 0.7
        const val FAILURE_RATE_AFTER_EJECTION = 0.4
        val FAILING_EJECTION_TIME = 1.seconds
        val CLOSED_EJECTION_TIME = 300.milliseconds

        /** Greatest expected wait at a target with a named rate. */
        val MAX_RATE_WAIT = 1.minutes

        /** Age at which a rate is no longer told to a gate; longer than any restart of a daemon. */
        val MAX_RATE_AGE = 1.minutes

        /** Age at which a load report has no weight any more. */
        val MAX_LOAD_REPORT_AGE = 1_000.milliseconds
    }
}
