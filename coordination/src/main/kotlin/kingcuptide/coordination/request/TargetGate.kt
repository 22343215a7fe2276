package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A request at the daemon beside its target.
 *
 * @property priority urgency; the lowest starts first
 * @property deadline when its caller gives up, on this daemon's clock
 * @property objectiveAt when its answer loses most of its worth
 */
public class GateRequest(
    public val route: RouteId,
    public val priority: Int,
    public val deadline: Duration,
    public val objectiveAt: Duration,
    public val objective: Duration,
    internal val onStart: () -> Unit,
    internal val onRefused: (GateRefusal) -> Unit,
) {
    internal var startedAt: Duration = Duration.ZERO
    internal var arrivedAt: Duration = Duration.ZERO
}

/** A refusal: the request has not run and will not. [retryAfter] is when what waits now is expected to have gone. */
public data class GateRefusal(
    val code: ResultCode,
    val retryAfter: Duration,
)

/** What a gate has in hand, for those who choose among gates; [queued] are those that wait and can be on time. */
public data class GateLoadReport(
    val inFlight: Int,
    val queued: Int,
    val limit: Int,
    val wait: Duration,
    val cold: Boolean,
)

/** Whether the target may get requests at all. */
public enum class TargetState {
    /** It takes requests. */
    OPEN,

    /** It leaves, or its host stops. */
    LEAVING,

    /** Its failure domain is taken out. */
    TAKEN_OUT,

    /** It can't be reached. */
    DOWN,
}

/**
 * The last word on whether a request may go to the target beside this daemon, and when.
 *
 * At most [slots] requests run at once; others wait, the most urgent first, as long as they can still be answered within
 * their objective. Among equally urgent ones the next to be due starts first, but those that can't make their objective
 * any more start after those that can: else every one of them would be a little late as long as there is too much to
 * do. A cold target gets no more than [coldRequestsPerSecond] in any second. Used from one thread.
 */
public class TargetGate(
    private val clock: Clock,
) {
    private val running = HashSet<GateRequest>()
    private val waiting = ArrayList<GateRequest>()
    private val starts = SlidingWindowCounter(COLD_WINDOW, MAX_STARTS)
    private val runTimes = RunTimes()
    private var knownColdUntil = Duration.INFINITE
    private var presumedColdUntil = Duration.ZERO
    private var serving = false

    /** Requests that the target works on at once. */
    public var slots: Int = DEFAULT_SLOTS

    /** Greatest number of requests in any second while the target is cold. */
    public var coldRequestsPerSecond: Int = DEFAULT_COLD_RATE

    /** Whether the target may get requests; a change takes effect at the next [serve]. */
    public var state: TargetState = TargetState.OPEN

    /** Requests at the target. */
    public val inFlight: Int get() = running.size

    /** Requests that wait. */
    public val queued: Int get() = waiting.size

    /** Whether the target is held to be cold. */
    public fun isCold(): Boolean = isCold(clock.now())

    /** The target says that it is cold for [remaining] from now; nothing else is presumed any more. */
    public fun coldFor(remaining: Duration) {
        knownColdUntil = clock.now() + remaining
        presumedColdUntil = Duration.ZERO
    }

    /** The target may have turned cold: presumed so for [remaining], until it says or proves otherwise. */
    public fun presumeCold(remaining: Duration) {
        presumedColdUntil = clock.now() + remaining
    }

    /** The target has proved that it did not start again. */
    public fun clearPresumedCold() {
        presumedColdUntil = Duration.ZERO
    }

    private fun isCold(now: Duration): Boolean = now < knownColdUntil || now < presumedColdUntil

    /** Takes in [request]: it starts or is refused before this returns, or waits. */
    public fun offer(request: GateRequest) {
        val now = clock.now()
        request.arrivedAt = now
        val refusal = refusalOf(request, now)
        if (refusal != null) return request.onRefused(refusal)
        val at = waiting.indexOfFirst { isBefore(request, it) }
        if (at < 0) waiting.add(request) else waiting.add(at, request)
        serve()
    }

    /** A request ended; [completed] says whether its run time tells how fast the target is. */
    public fun ended(request: GateRequest, completed: Boolean) {
        if (!running.remove(request)) return
        if (completed) runTimes.record(request.route, clock.now() - request.startedAt)
        serve()
    }

    /** The caller has left: a waiting request is forgotten. Returns whether it was waiting. */
    public fun withdraw(request: GateRequest): Boolean = waiting.remove(request)

    /** Starts what there is room for and refuses what can't make it any more; called at least every [MAX_SERVE_INTERVAL]. */
    public fun serve() {
        if (serving) return
        serving = true
        try {
            refuseHopeless()
            startWaiting()
        } finally {
            serving = false
        }
    }

    /** What the gate has in hand. */
    public fun loadReport(): GateLoadReport {
        val now = clock.now()
        val onTime = waiting.count { canMakeObjective(it, now) }
        return GateLoadReport(running.size, onTime, limitNow(), expectedWait(onTime, now), isCold(now))
    }

    private fun refusalOf(request: GateRequest, now: Duration): GateRefusal? {
        val code = closedCode()
        if (code != null) return GateRefusal(code, CLOSED_RETRY_AFTER)
        val run = runTimes.expected(request.route, request.objective)
        if (now + run * HOPELESS_SHARE > request.deadline) return GateRefusal(ResultCode.DEADLINE_PASSED, Duration.ZERO)
        val wait = expectedWait(waitingBefore(request, now), now)
        if (wait == Duration.ZERO) return null
        val patience = patienceOf(request, run, now)
        if (wait <= patience) return null
        return GateRefusal(fullCode(now), wait + MIN_RETRY_AFTER)
    }

    /** What is late already waits behind a request that is not, however long it has been here. */
    private fun waitingBefore(request: GateRequest, now: Duration): Int {
        val isOnTime = canMakeObjective(request, now)
        return waiting.count {
            it.priority < request.priority ||
                (!isBefore(request, it) && (!isOnTime || canMakeObjective(it, now)))
        }
    }

    /** How long [request] may wait: so that it makes its objective, or is at least not much later than it is already. */
    private fun patienceOf(request: GateRequest, run: Duration, now: Duration): Duration {
        val untilDeadline = request.deadline - now - run
        val untilObjective = request.objectiveAt - now - run
        return minOf(maxOf(untilObjective, request.objective * LATE_PATIENCE_SHARE), untilDeadline)
    }

    private fun closedCode(): ResultCode? = when (state) {
        TargetState.OPEN -> null
        TargetState.LEAVING -> ResultCode.DRAINING
        TargetState.TAKEN_OUT -> ResultCode.FAILURE_DOMAIN_TAKEN_OUT
        TargetState.DOWN -> ResultCode.TARGET_DOWN
    }

    private fun refuseHopeless() {
        if (waiting.isEmpty()) return
        val now = clock.now()
        val closed = closedCode()
        val hopeless = waiting.filter { closed != null || now + hopelessRun(it) > it.deadline || isTooLate(it, now) }
        waiting.removeAll(hopeless)
        val wait = maxOf(CLOSED_RETRY_AFTER, expectedWait(waiting.size, now))
        hopeless.forEach { it.onRefused(GateRefusal(closed ?: fullCode(now), wait)) }
    }

    /** What is late waits behind all that is not, perhaps for ever: it is told soon to come back. */
    private fun isTooLate(request: GateRequest, now: Duration): Boolean {
        val run = runTimes.expected(request.route, request.objective)
        val late = maxOf(request.objectiveAt - run, request.arrivedAt)
        return now > late + request.objective * LATE_PATIENCE_SHARE
    }

    private fun hopelessRun(request: GateRequest): Duration =
        runTimes.expected(request.route, request.objective) * HOPELESS_SHARE

    private fun startWaiting() {
        while (waiting.isNotEmpty() && hasRoom(clock.now())) {
            val now = clock.now()
            val request = takeNext(now)
            starts.record(now)
            request.startedAt = now
            running += request
            request.onStart()
        }
    }

    private fun takeNext(now: Duration): GateRequest {
        val priority = waiting.first().priority
        val onTime = waiting.indexOfFirst { it.priority == priority && canMakeObjective(it, now) }
        return waiting.removeAt(maxOf(0, onTime))
    }

    private fun canMakeObjective(request: GateRequest, now: Duration): Boolean =
        now + runTimes.expected(request.route, request.objective) <= request.objectiveAt

    private fun hasRoom(now: Duration): Boolean {
        if (running.size >= limitNow()) return false
        return !isCold(now) || starts.count(now) < coldRequestsPerSecond
    }

    private fun limitNow(): Int = if (state == TargetState.OPEN) slots else 0

    private fun expectedWait(ahead: Int, now: Duration): Duration {
        val forSlot =
            if (running.size + ahead < slots) Duration.ZERO else meanRun(now) * ((ahead + 1).toDouble() / slots)
        if (!isCold(now)) return forSlot
        val forRate =
            starts.timeUntilBelow(coldRequestsPerSecond, now) + 1.seconds * (ahead.toDouble() / coldRequestsPerSecond)
        return maxOf(forSlot, if (starts.count(now) + ahead < coldRequestsPerSecond) Duration.ZERO else forRate)
    }

    private fun meanRun(now: Duration): Duration {
        if (running.isEmpty()) return Duration.ZERO
        val total = running.fold(Duration.ZERO) { sum, it ->
            sum + maxOf(runTimes.expected(it.route, it.objective), now - it.startedAt)
        }
        return total / running.size
    }

    private fun fullCode(now: Duration): ResultCode =
        if (isCold(now)) ResultCode.TARGET_COLD else ResultCode.TARGET_FULL

    /** One that came back after a refusal has no precedence over those that came meanwhile. */
    private fun dueAt(request: GateRequest): Duration = request.arrivedAt + request.objective

    private fun isBefore(first: GateRequest, second: GateRequest): Boolean =
        first.priority < second.priority || (first.priority == second.priority && dueAt(first) < dueAt(second))

    public companion object {
        /** Longest time between two calls of [serve]. */
        public val MAX_SERVE_INTERVAL: Duration = 20.milliseconds

        private val COLD_WINDOW = 1_000.milliseconds
        private const val MAX_STARTS = 4_096
        private const val DEFAULT_SLOTS = 1
        private const val DEFAULT_COLD_RATE = 1

        /** Share of the usual run time that must be left, since runs differ in length. */
        private const val HOPELESS_SHARE = 0.5

        /** Share of the objective that a request may wait which can't make it any more. */
        private const val LATE_PATIENCE_SHARE = 0.25
        private val CLOSED_RETRY_AFTER = 200.milliseconds
        private val MIN_RETRY_AFTER = 50.milliseconds
    }
}
