package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.TargetId
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Properties of a request for which a target is chosen.
 *
 * @property untilObjective remaining time until its response loses most of its value
 * @property untilDeadline remaining time until its caller gives up
 * @property bodyBytes length of the request body
 * @property tried targets to which this request has already been sent
 * @property homeRegions the regions in which it may be served; empty for all
 * @property isRefused whether a gate has already refused it for want of room
 */
public data class PickRequest(
    val route: RouteId,
    val objective: Duration,
    val untilObjective: Duration,
    val untilDeadline: Duration,
    val bodyBytes: Int,
    val tried: Set<TargetId>,
    val homeRegions: Set<RegionId> = emptySet(),
    val isRefused: Boolean = false,
)

/**
 * Chooses the target of a request at the daemon that received it from its caller.
 *
 * If gates report the run times of their targets, [LoadSpread] chooses by queue, speed, slots and distance. Otherwise the
 * candidate with the best score is chosen: its probability of a response within the objective, less a penalty for the
 * network path, so near targets are preferred as long as they have capacity. Not thread-safe.
 */
public class TargetPicker(
    private val clock: Clock,
    private val location: DaemonLocation,
    private val random: Random,
) {
    private val records = HashMap<TargetId, TargetRecord>()
    private val averages = RouteAverages()
    private val speeds = FleetSpeeds()
    private val spread = LoadSpread(random)
    private val demands = DomainDemand(location.failureDomain)
    private val spillOrder = SpillOrder()

    /**
     * Returns the best candidate among those not tried yet: by [LoadSpread] if gates report the run times of at least half
     * of the candidates, and by their score otherwise. Returns null if there is none, or if a gate has refused the request
     * and only targets of other regions without room are left.
     */
    public fun pick(candidates: List<KnownTarget>, request: PickRequest): TargetPick? {
        val now = clock.now()
        recordDemand(candidates, request, now)
        val pick = pickUntried(candidates, request, now) ?: return null
        return pick.copy(reason = reasonFor(pick, candidates, request))
    }

    private fun reasonFor(pick: TargetPick, candidates: List<KnownTarget>, request: PickRequest): PickReason {
        val distance = distanceTo(pick.target)
        return when {
            distance == Distance.SAME_DOMAIN -> PickReason.NEAREST
            request.homeRegions.isNotEmpty() && location.region !in request.homeRegions -> PickReason.HOME_REGIONS
            candidates.none { distanceTo(it) < distance } -> PickReason.NONE_NEARER
            else -> pick.reason
        }
    }

    private fun pickUntried(candidates: List<KnownTarget>, request: PickRequest, now: Duration): TargetPick? {
        val untried = candidates.filter { it.entry.id !in request.tried }
        if (untried.size <= 1) return untried.firstOrNull()?.let { TargetPick(it, PickReason.NEARER_UNAVAILABLE) }
        val available = untried.filter { recordOf(it.entry.id).ejectedUntil <= now }.ifEmpty { untried }
        val ratios = speeds.ratiosOf(candidates, now)
        if (ratios.isNotEmpty() && available.count { it.entry.id in ratios } * 2 >= available.size) {
            val open = available.filterNot { isBlocked(recordOf(it.entry.id), request, now) }
                .ifEmpty { withoutRoom(available, request) }
            if (open.isEmpty()) return null
            val options = open.map { optionOf(it, ratios[it.entry.id], now) }
            return spread.choose(options, spillPlan(options, request, now))
        }
        val best = available.maxBy { scoreOf(it, request, now) + random.nextDouble() * MAX_TIE_BREAK }
        return TargetPick(best, PickReason.BEST_SCORE)
    }

    /** Demand of the callers of this daemon, for the other daemons. */
    public fun ownDemand(): Demand = demands.own(clock.now())

    /** Records the [demand] of the callers of the daemon beside [reporter] in [domain]. */
    public fun recordDemand(reporter: TargetId, domain: FailureDomainId, demand: Demand): Unit =
        demands.record(reporter, domain, demand, clock.now())

    private fun recordDemand(candidates: List<KnownTarget>, request: PickRequest, now: Duration) {
        if (candidates.isEmpty() || request.tried.isNotEmpty()) return
        val work = averages.expectedRunTime(request.route, request.objective)
        val service = candidates.first().entry.service
        demands.requested(DemandPool(service, request.homeRegions), work, now)
        if (mayStayOrLeave(request)) spillOrder.record(service, request.route, work, expectedBytes(request), now)
    }

    private fun mayStayOrLeave(request: PickRequest): Boolean =
        request.homeRegions.isEmpty() || (location.region in request.homeRegions && request.homeRegions.size > 1)

    /** Returns the bytes that [request] and its response are expected to take between hosts. */
    private fun expectedBytes(request: PickRequest): Double =
        request.bodyBytes + averages.expectedResponseBytes(request.route) + HEADER_BYTES

    private fun spillPlan(options: List<SpreadOption>, request: PickRequest, now: Duration): SpillPlan {
        val service = options.first().target.entry.service
        val demand = demands.of(service, now)
        if (demand.isEmpty()) return SpillPlan.NONE
        val capacities = options.groupBy({
            it.target.entry.failureDomain
        }, { it.capacity }).mapValues { it.value.sum() }
        val balances = balancesOf(DemandPool(service, request.homeRegions), demand, capacities, ::regionOf)
        return SpillPlan.of(location.failureDomain, balances)
            .forRequests { spillOrder.shareOf(service, request.route, it, now) }
    }

    private fun regionOf(domain: FailureDomainId): RegionId? =
        if (domain == location.failureDomain) location.region else location.regionOf(domain)

    /** Records that a request was sent to [id]. */
    public fun sent(id: TargetId) {
        val record = recordOf(id)
        record.sentSinceReport++
        record.outstanding++
    }

    /** Records a load report of the gate of [id]. */
    public fun recordLoadReport(id: TargetId, report: GateLoadReport) {
        val record = recordOf(id)
        record.recordLoadReport(report, clock.now())
        speeds.record(id, report.runTimes)
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

    /** Returns the run times that the gate of [id] has reported, if its latest report lacks them; null otherwise. */
    public fun lostRunTimes(id: TargetId): RunTimes? {
        val record = records[id] ?: return null
        if (record.loadReport?.runTimes?.isEmpty() != true ||
            clock.now() - record.runTimesAt > MAX_RATE_AGE
        ) {
            return null
        }
        return speeds.runTimesOf(id)
    }

    /** Returns the run times that the gate of [id] reported last, or null. */
    public fun runTimesOf(id: TargetId): RunTimes? = speeds.runTimesOf(id)

    /** Returns the speed that is assumed for [id], as a multiple of the mean of its service. */
    public fun assumedSpeed(id: TargetId): Double = 1 / (speeds.lastRatioOf(id) ?: recordOf(id).runTimeRatio)

    /** Returns the expected time from now until the response of [target] to a request of [route]. */
    public fun expectedTimeToFinish(target: KnownTarget, route: RouteId, objective: Duration): Duration {
        val record = recordOf(target.entry.id)
        val ratio = speeds.lastRatioOf(target.entry.id) ?: record.runTimeRatio
        val runTime = averages.expectedRunTime(route, objective) * ratio
        val queued = (record.queue(clock.now()) ?: 0.0) - target.entry.slots
        val wait = runTime * (maxOf(0.0, queued) / maxOf(1, target.entry.slots))
        return wait + runTime + pathTo(target.entry.failureDomain).roundTrip
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
        record.recordOutcome(if (successful) 0.0 else 1.0, clock.now())
        if (!successful) return
        val expectedRun = averages.expectedRunTime(route, objective)
        val ratio = (ran / expectedRun).coerceIn(MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO)
        record.runTimeRatio += (ratio - record.runTimeRatio) * RUN_TIME_RATIO_SMOOTHING
        averages.recordRunTime(route, ran / (speeds.lastRatioOf(id) ?: 1.0))
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
        record.recordOutcome(1.0, clock.now())
    }

    /** Records that a request was abandoned before its result was known. */
    public fun abandoned(id: TargetId) {
        recordOf(id).outstanding--
    }

    /** Drops the statistics of all targets except [ids]. */
    public fun retain(ids: Set<TargetId>) {
        records.keys.retainAll(ids)
        speeds.retain(ids)
        demands.retain(ids)
    }

    /** A target whose gate reports no run times counts with the ratio that this entry has learned. */
    private fun optionOf(target: KnownTarget, ratio: Double?, now: Duration): SpreadOption {
        val record = recordOf(target.entry.id)
        val health = (1 - record.failureRate(now)).pow(FAILURE_EXPONENT).coerceAtLeast(MIN_HEALTH)
        val usable = if (record.isCold) health * COLD_CAPACITY else health
        val capacity = maxOf(1, target.entry.slots) * usable / (ratio ?: record.runTimeRatio)
        return SpreadOption(target, distanceTo(target), capacity, record.queue(now), record.outstanding)
    }

    /**
     * Returns those of [available] targets, all of which are reported to have no room, whose gates are asked all the same:
     * the near ones, as reports are old. A far one has no room either, and the body would cross regions for nothing.
     */
    private fun withoutRoom(available: List<KnownTarget>, request: PickRequest): List<KnownTarget> {
        val near = available.filter { distanceTo(it) != Distance.OTHER_REGION }
        return if (near.isEmpty() && !request.isRefused) available else near
    }

    /** Whether the gate is closed, or the rate of its target, named or cold, leaves no room for [request]. */
    private fun isBlocked(record: TargetRecord, request: PickRequest, now: Duration): Boolean =
        record.isClosed(now) ||
            record.expectedRateWait(now) > maxOf(request.untilObjective, Duration.ZERO) ||
            record.expectedColdWait(now) > maxOf(request.untilObjective, Duration.ZERO) * MAX_COLD_WAIT_SHARE

    private fun scoreOf(target: KnownTarget, request: PickRequest, now: Duration): Double {
        val record = recordOf(target.entry.id)
        val path = pathTo(target.entry.failureDomain)
        val runTime = averages.expectedRunTime(request.route, request.objective) * record.runTimeRatio
        val completionTime = expectedWait(target, record, runTime, now) + runTime + path.roundTrip
        val onTimeProbability = probabilityWithin(completionTime, request.untilObjective)
        val inTimeProbability = probabilityWithin(completionTime, request.untilDeadline)
        val expectedValue = onTimeProbability * (1 - LATE_VALUE) + inTimeProbability * LATE_VALUE
        val successValue = expectedValue * (1 - record.failureRate(now)).pow(FAILURE_EXPONENT)
        val penalty = completionTime / maxOf(request.objective, MIN_OBJECTIVE) * COMPLETION_TIME_PENALTY
        return successValue - path.penaltyPerByte * expectedBytes(request) - penalty
    }

    private fun expectedWait(target: KnownTarget, record: TargetRecord, runTime: Duration, now: Duration): Duration {
        val report =
            record.loadReport ?: return runTime * (record.outstanding.toDouble() / maxOf(1, target.entry.slots))
        val limit = maxOf(1, report.limit)
        val reportAge = now - record.reportedAt
        val reportWeight = (1 - reportAge / MAX_LOAD_REPORT_AGE).coerceIn(0.0, 1.0)
        val load = (report.inFlight + report.queued) * reportWeight + record.sentSinceReport
        val slotWait = if (load < limit) Duration.ZERO else runTime * ((load - limit + 1) / limit)
        val rateWait = record.expectedRateWait(now)
        return maxOf(slotWait, report.wait * reportWeight, rateWait)
    }

    /** Returns the probability that a request expected to take [completionTime] ends within [limit]. */
    private fun probabilityWithin(completionTime: Duration, limit: Duration): Double {
        if (limit <= Duration.ZERO) return 0.0
        return ((LATE_RATIO - completionTime / limit) / (LATE_RATIO - ON_TIME_RATIO)).coerceIn(0.0, 1.0)
    }

    private fun distanceTo(target: KnownTarget): Distance = location.distanceTo(target.entry.failureDomain)

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
        const val FAILURE_EXPONENT = 1.5
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

        val CLOSED_EJECTION_TIME = 300.milliseconds

        /** Age at which a rate is no longer told to a gate; longer than any restart of a daemon. */
        val MAX_RATE_AGE = 1.minutes

        /** Share of its capacity with which a cold target counts; its gate refuses most of more. */
        const val COLD_CAPACITY = 0.25

        /** Share of the time until the objective for which a request may wait at a cold target. */
        const val MAX_COLD_WAIT_SHARE = 0.5

        /** Least share of its capacity with which a failing target counts. */
        const val MIN_HEALTH = 0.02

        /** Age at which a load report has no weight any more. */
        val MAX_LOAD_REPORT_AGE = 1_000.milliseconds
    }
}
