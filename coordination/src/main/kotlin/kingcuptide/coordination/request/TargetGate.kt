package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * A request at the gate of its target.
 *
 * @property priority the lowest value starts first
 * @property deadline when its caller gives up, on this daemon's clock
 * @property objectiveAt when its response loses most of its value, on this daemon's clock
 * @property objective latency objective of its route
 * @property isCutShort whether [deadline] comes before the one of its caller, since this daemon stops
 * @property shareGroup group whose share of a full target it counts towards; the forwarder groups by workspace
 */
public class GateRequest(
    public val route: RouteId,
    public val priority: Int,
    public val deadline: Duration,
    public val objectiveAt: Duration,
    public val objective: Duration,
    internal val onStart: () -> Unit,
    internal val onRefused: (GateRefusal) -> Unit,
    public val shareGroup: String = route.value,
    public val isCutShort: Boolean = false,
) {
    internal var floorRounding: Double = 0.0
    internal var isExcessRepeat: Boolean = false
    internal var startedAt: Duration = Duration.ZERO
    internal var arrivedAt: Duration = Duration.ZERO
}

/** A refusal: the request has not run and will not run. [retryAfter] is the expected time until the queue is served. */
public data class GateRefusal(
    val code: ResultCode,
    val retryAfter: Duration,
)

/** Whether the target may receive requests. */
public enum class TargetState {
    /** The target accepts requests. */
    OPEN,

    /** The target is leaving, or this daemon is stopping. */
    LEAVING,

    /** The failure domain of the target is taken out. */
    TAKEN_OUT,

    /** The target is unreachable. */
    DOWN,
}

/**
 * Makes the final decision on whether and when a request may be sent to the target beside this daemon.
 *
 * At most [slots] requests run at once. Others are queued by priority while they can still meet their objective. At
 * equal priority the request that is due first starts first, but those that can no longer meet their objective start
 * after those that can; otherwise all of them would be slightly late during an overload. Requests of a share group that
 * is below its floor start before all others, in the same order among themselves; otherwise a full gate would starve
 * the lowest priority. A cold target gets at most [coldRequestsPerSecond] in any second, and one that has named a rate
 * gets no more than that. Not thread-safe.
 */
public class TargetGate(
    private val clock: Clock,
) {
    private val running = HashSet<GateRequest>()
    private val waiting = ArrayList<GateRequest>()
    private val recentStarts = SlidingWindowCounter(COLD_RATE_WINDOW, MAX_COUNTED_STARTS)
    private val namedRate = NamedRate()
    private val averages = RouteAverages()
    private val shares = ShareFloors()
    private val speed = TargetSpeed()
    private val urgentReserve = UrgentReserve()
    private var reportedColdUntil = Duration.INFINITE
    private var presumedColdUntil = Duration.ZERO
    private var isServing = false

    /** Greatest number of requests that the target runs at once. */
    public var slots: Int = DEFAULT_SLOTS

    /** Greatest number of requests in any second while the target is cold. */
    public var coldRequestsPerSecond: Int = DEFAULT_COLD_REQUESTS_PER_SECOND

    /** Whether the target may get requests; a change takes effect at the next [serve]. */
    public var state: TargetState = TargetState.OPEN

    /** Number of requests at the target. */
    public val inFlight: Int get() = running.size

    /** Number of queued requests. */
    public val queued: Int get() = waiting.size

    /** The target beside this daemon, if it has said in a response that it leaves; load reports tell other daemons. */
    public var leavingInstance: TargetInstance? = null

    /** Requests a second that the target takes from all hosts together, 0 or more; null if it has named no rate. */
    public var ratePerSecond: Double?
        get() = namedRate.perSecond
        set(value) = namedRate.set(value, clock.now())

    /** Share of recent starts that went before others because their share groups were below their floors. */
    public val floorStartShare: Double get() = shares.preferredShare(clock.now())

    /** Whether the target is known or presumed to be cold. */
    public fun isCold(): Boolean = isCold(clock.now())

    /** Records the target's own report that it is cold for [remaining] from now, which replaces any presumption. */
    public fun coldFor(remaining: Duration) {
        reportedColdUntil = clock.now() + remaining
        presumedColdUntil = Duration.ZERO
    }

    /** Presumes that the target is cold for [remaining] from now, or until it reports or proves otherwise. */
    public fun presumeCold(remaining: Duration) {
        presumedColdUntil = clock.now() + remaining
    }

    /** Drops the presumption of [presumeCold], since the target has proved that it did not restart. */
    public fun clearPresumedCold() {
        presumedColdUntil = Duration.ZERO
    }

    private fun isCold(now: Duration): Boolean = now < reportedColdUntil || now < presumedColdUntil

    /**
     * Whether all slots of the target are in use by requests of which some may still run as long as usual. Such a target
     * responds to nothing else meanwhile.
     */
    public fun isBusy(): Boolean {
        val now = clock.now()
        return running.size >= slots && running.any { now - it.startedAt < expectedRunTime(it) * OVERDUE_RATIO }
    }

    /** Accepts [request]: it is started, refused or queued before this returns. */
    public fun offer(request: GateRequest) {
        val now = clock.now()
        request.arrivedAt = now
        val refusal = futileRefusalOf(request, now) ?: capacityRefusalOf(request, now)
        if (refusal != null) return request.onRefused(refusal)
        val at = waiting.indexOfFirst { isBefore(request, it) }
        if (at < 0) waiting.add(request) else waiting.add(at, request)
        serve()
    }

    /** Records the end of a request; [completed] means that its run time counts towards the average of its route. */
    public fun ended(request: GateRequest, completed: Boolean) {
        if (!running.remove(request)) return
        if (completed) recordRunTime(request.route, clock.now() - request.startedAt)
        serve()
    }

    private fun recordRunTime(route: RouteId, runTime: Duration) {
        averages.recordRunTime(route, runTime)
        speed.record(route, runTime, clock.now())
    }

    /** An entry knows [runTimes] that this gate reported before a restart. */
    public fun runTimesTold(runTimes: RunTimes): Unit = speed.told(runTimes)

    /** Another target responds: its speed is unknown. */
    public fun targetReplaced(): Unit = speed.reset()

    /** Removes a queued request whose caller has disconnected. Returns whether it was queued. */
    public fun withdraw(request: GateRequest): Boolean = waiting.remove(request)

    /** Refuses expired requests and starts queued ones; to be called at least every [MAX_SERVE_INTERVAL]. */
    public fun serve() {
        if (isServing) return
        isServing = true
        try {
            refuseExpired()
            startWaiting()
        } finally {
            isServing = false
        }
    }

    /**
     * Returns the retry delay for a request that the target itself has rejected. While nothing waits here, the target
     * has not rejected it for its load, and another target may take it at once.
     */
    public fun retryAfterRejection(): Duration =
        if (waiting.isEmpty() && !isCold()) IDLE_REJECTION_RETRY_AFTER else REJECTION_RETRY_AFTER

    /** Returns the current load report. */
    public fun loadReport(): GateLoadReport {
        val now = clock.now()
        val onTime = waiting.count { canMeetObjective(it, now) }
        val wait = minOf(expectedWait(onTime, now), MAX_REPORTED_WAIT)
        val (inFlight, limit) = running.size to limitNow()
        return GateLoadReport(
            inFlight,
            onTime,
            limit,
            wait,
            isCold(now),
            ratePerSecond,
            leavingInstance,
            speed.runTimes,
        )
    }

    /** Returns the recent requests of [group] at this gate, apart from those that came too late to be served. */
    public fun shareCountsOf(group: String): ShareCounts = shares.countsOf(group, clock.now())

    /** Returns a refusal if [request] could not be served even by an idle target. */
    private fun futileRefusalOf(request: GateRequest, now: Duration): GateRefusal? {
        val code = codeIfClosed()
        if (code != null) return GateRefusal(code, CLOSED_RETRY_AFTER)
        if (now + minRunTime(request) > request.deadline) {
            return GateRefusal(ResultCode.DEADLINE_PASSED, Duration.ZERO)
        }
        return null
    }

    private fun capacityRefusalOf(request: GateRequest, now: Duration): GateRefusal? {
        request.floorRounding = shares.recordRequest(request.shareGroup, now)
        urgentReserve.record(request.priority, expectedRunTime(request), request.objective, now)
        request.isExcessRepeat = isRepeat(request) && shares.recordRepeat(request.shareGroup, now)
        val queueWait = expectedWait(countAhead(request, now), now, reservedFrom(request, now))
        if (queueWait == Duration.ZERO) return null
        val runTime = expectedRunTime(request)
        val queueTimeout = queueTimeoutOf(request, runTime, now)
        if (queueWait <= queueTimeout) return null
        return GateRefusal(capacityCode(now), minOf(queueWait + MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /** Returns whether the entry has told by the objective that the caller had waited before it sent [request]. */
    private fun isRepeat(request: GateRequest): Boolean =
        request.arrivedAt + request.objective - request.objectiveAt > request.objective * MIN_REPEAT_WAIT_SHARE

    /** Counts the queued requests that start before [request]. */
    private fun countAhead(request: GateRequest, now: Duration): Int {
        val isOnTime = canMeetObjective(request, now)
        val preferred = belowFloor(now)
        val preferredOfGroup = preferred.count { it.shareGroup == request.shareGroup }
        if (isPreferred(request, preferredOfGroup, now)) {
            return preferred.count { startsBefore(it, request, isOnTime, now) }
        }
        val ahead = waiting.count { it in preferred || startsBefore(it, request, isOnTime, now) }
        return (ahead / (1 - shares.preferredShare(now))).toInt()
    }

    /** Returns whether [queued] starts before [request]; a late one does not start before one that is on time. */
    private fun startsBefore(queued: GateRequest, request: GateRequest, isOnTime: Boolean, now: Duration): Boolean =
        queued.priority < request.priority ||
            (!isBefore(request, queued) && (!isOnTime || canMeetObjective(queued, now)))

    /** Returns the queued requests that bring their groups up to their floors. */
    private fun belowFloor(now: Duration): Set<GateRequest> {
        if (waiting.isEmpty()) return emptySet()
        val queuedBefore = HashMap<String, Int>()
        return waiting.filterTo(HashSet()) {
            val before = queuedBefore[it.shareGroup] ?: 0
            val isBelow = isPreferred(it, before, now)
            if (isBelow) queuedBefore[it.shareGroup] = before + 1
            isBelow
        }
    }

    /** Returns whether [request] starts before others; a late one does not if its group can be served on time. */
    private fun isPreferred(request: GateRequest, queuedBefore: Int, now: Duration): Boolean =
        shares.isBelowFloor(request.shareGroup, queuedBefore, request.floorRounding, now) &&
            (canMeetObjective(request, now) || !couldMeetObjective(request))

    /** Returns whether a first attempt of the route of [request] can be on time at all. */
    private fun couldMeetObjective(request: GateRequest): Boolean =
        expectedRunTime(request) <= request.objective

    /** Returns how long [request] may be queued to meet its objective or, if it is late, not to become much later. */
    private fun queueTimeoutOf(request: GateRequest, runTime: Duration, now: Duration): Duration {
        val untilDeadline = request.deadline - now - runTime
        val untilObjective = request.objectiveAt - now - runTime
        return minOf(maxOf(untilObjective, request.objective * LATE_QUEUE_TIMEOUT_SHARE), untilDeadline)
    }

    private fun codeIfClosed(): ResultCode? = when (state) {
        TargetState.OPEN -> null
        TargetState.LEAVING -> ResultCode.DRAINING
        TargetState.TAKEN_OUT -> ResultCode.FAILURE_DOMAIN_TAKEN_OUT
        TargetState.DOWN -> ResultCode.TARGET_DOWN
    }

    private fun refuseExpired() {
        if (waiting.isEmpty()) return
        val now = clock.now()
        val refusalCode = codeIfClosed()
        val expired = waiting.filter { refusalCode != null || now + minRunTime(it) > it.deadline || isTooLate(it, now) }
        waiting.removeAll(expired)
        val retryAfter = expectedWait(waiting.size, now).coerceIn(CLOSED_RETRY_AFTER, MAX_RETRY_AFTER)
        expired.forEach { it.onRefused(GateRefusal(refusalCode ?: capacityCode(now), retryAfter)) }
    }

    /** A late request is queued behind all that are on time, perhaps without end, so it is refused early. */
    private fun isTooLate(request: GateRequest, now: Duration): Boolean {
        val runTime = expectedRunTime(request)
        val lateAt = maxOf(request.objectiveAt - runTime, request.arrivedAt)
        return now > lateAt + request.objective * LATE_QUEUE_TIMEOUT_SHARE
    }

    private fun expectedRunTime(request: GateRequest): Duration =
        averages.expectedRunTime(request.route, request.objective)

    /** A request that is cut short could run to its end at another target. */
    private fun minRunTime(request: GateRequest): Duration =
        expectedRunTime(request) * if (request.isCutShort) 1.0 else MIN_RUN_TIME_SHARE

    private fun startWaiting() {
        while (waiting.isNotEmpty() && canStart(clock.now())) {
            val now = clock.now()
            val request = pollNext(now) ?: return
            recentStarts.record(now)
            namedRate.recordStart(now)
            request.startedAt = now
            running += request
            request.onStart()
        }
    }

    private fun pollNext(now: Duration): GateRequest? {
        val startable = waiting.filter { running.size < slots - reservedFrom(it, now) }
        if (startable.isEmpty()) return null
        val preferred = startable.filter { isPreferred(it, 0, now) }
        val usual = firstOf(startable, now)
        val request = if (preferred.isEmpty()) usual else firstOf(preferred, now)
        waiting.remove(request)
        shares.recordStart(request.shareGroup, isPreferred = request !== usual, now)
        return request
    }

    /** Returns the number of slots that [request] must leave to more urgent ones and that are not in use by such now. */
    private fun reservedFrom(request: GateRequest, now: Duration): Int {
        val reserved = urgentReserve.slotsFor(request.priority, expectedRunTime(request), slots, now)
        if (reserved == 0) return 0
        return maxOf(0, reserved - running.count { it.priority < request.priority })
    }

    private fun firstOf(requests: List<GateRequest>, now: Duration): GateRequest {
        val priority = requests.first().priority
        return requests.firstOrNull { it.priority == priority && canMeetObjective(it, now) } ?: requests.first()
    }

    private fun canMeetObjective(request: GateRequest, now: Duration): Boolean =
        now + expectedRunTime(request) <= request.objectiveAt

    private fun canStart(now: Duration): Boolean {
        if (running.size >= limitNow() || !namedRate.canStart(now)) return false
        return !isCold(now) || recentStarts.count(now) < coldRequestsPerSecond
    }

    private fun limitNow(): Int = if (state == TargetState.OPEN) slots else 0

    private fun expectedWait(ahead: Int, now: Duration, reserved: Int = 0): Duration =
        maxOf(slotWait(ahead, now, reserved), coldWait(ahead, now), namedRate.timeUntilStart(ahead, now))

    private fun slotWait(ahead: Int, now: Duration, reserved: Int): Duration {
        val usable = slots - reserved
        if (running.size + ahead < usable) return Duration.ZERO
        return meanRunTime(now) * ((ahead + 1).toDouble() / usable)
    }

    private fun coldWait(ahead: Int, now: Duration): Duration {
        if (!isCold(now) || recentStarts.count(now) + ahead < coldRequestsPerSecond) return Duration.ZERO
        return recentStarts.timeUntilBelow(coldRequestsPerSecond, now) +
            1.seconds * (ahead.toDouble() / coldRequestsPerSecond)
    }

    private fun meanRunTime(now: Duration): Duration {
        if (running.isEmpty()) return Duration.ZERO
        val total = running.fold(Duration.ZERO) { sum, it ->
            sum + maxOf(expectedRunTime(it), now - it.startedAt)
        }
        return total / running.size
    }

    private fun capacityCode(now: Duration): ResultCode = when {
        !namedRate.canStart(now) -> ResultCode.TARGET_RATE_SPENT
        isCold(now) -> ResultCode.TARGET_COLD
        else -> ResultCode.TARGET_FULL
    }

    /** Counts from the arrival, so a retry after a refusal has no precedence over requests that arrived meanwhile. */
    private fun queueOrderTime(request: GateRequest): Duration = request.arrivedAt + request.objective

    private fun isBefore(first: GateRequest, second: GateRequest): Boolean = when {
        first.priority != second.priority -> first.priority < second.priority
        first.isExcessRepeat != second.isExcessRepeat -> second.isExcessRepeat
        else -> queueOrderTime(first) < queueOrderTime(second)
    }

    public companion object {
        /** Longest time between two calls of [serve]. */
        public val MAX_SERVE_INTERVAL: Duration = 20.milliseconds

        private val COLD_RATE_WINDOW = 1_000.milliseconds
        private const val MAX_COUNTED_STARTS = 4_096
        private const val DEFAULT_SLOTS = 1
        private const val DEFAULT_COLD_REQUESTS_PER_SECOND = 1

        /** Share of the expected run time that must remain until the deadline; below 1, since run times vary. */
        private const val MIN_RUN_TIME_SHARE = 0.5

        /** Queue timeout of a request that can no longer meet its objective, as a share of the objective. */
        private const val LATE_QUEUE_TIMEOUT_SHARE = 0.25

        /** Run time above which a request is overdue, as a multiple of the expected run time of its route. */
        private const val OVERDUE_RATIO = 3

        /** Share of the objective that the caller of a repeated attempt has waited; network delays are shorter. */
        private const val MIN_REPEAT_WAIT_SHARE = 0.1
        private val CLOSED_RETRY_AFTER = 200.milliseconds
        private val MIN_RETRY_AFTER = 50.milliseconds

        /** Retry delay where the wait is long or unknown, as at a target that takes no requests at present. */
        private val MAX_RETRY_AFTER = 5.seconds

        /** Greatest wait in a load report; that of a target which takes no requests at present is infinite. */
        private val MAX_REPORTED_WAIT = 1.minutes
        private val REJECTION_RETRY_AFTER = 200.milliseconds
        private val IDLE_REJECTION_RETRY_AFTER = 20.milliseconds
    }
}
