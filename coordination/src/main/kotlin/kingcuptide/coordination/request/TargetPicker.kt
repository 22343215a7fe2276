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
import kotlin.time.Duration.Companion.seconds

/** What is known of a target's gate. [reportedAt] is when [loadReport] was said. */
public class TargetRecord {
    internal var loadReport: GateLoadReport? = null
    internal var reportedAt: Duration = Duration.ZERO
    internal var sentSinceReport = 0
    internal var outstanding = 0
    internal var failures = 0.0
    internal var failuresAt: Duration = Duration.ZERO
    internal var slowness = 1.0
    internal var asideUntil: Duration = Duration.ZERO
}

/** What a choice must know of the request; [bodyBytes] is the length of its own body. */
public data class PickRequest(
    val route: RouteId,
    val objective: Duration,
    val untilObjective: Duration,
    val untilDeadline: Duration,
    val bodyBytes: Int,
    val tried: Set<TargetId>,
)

/**
 * Chooses the target of a request at the daemon that took it from its caller.
 *
 * Each candidate is worth its chance to answer within the objective, less what the way there costs: near ones are
 * preferred as long as they can bear it. Used from one thread.
 */
public class TargetPicker(
    private val clock: Clock,
    private val place: DaemonLocation,
    private val random: Random,
) {
    private val records = HashMap<TargetId, TargetRecord>()
    private val runTimes = RunTimes()

    /** Returns the best of [candidates], or null if there is none. */
    public fun pick(candidates: List<KnownTarget>, request: PickRequest): KnownTarget? {
        val now = clock.now()
        val fresh = candidates.filter { it.entry.id !in request.tried }
        if (fresh.size <= 1) return fresh.firstOrNull()
        val sound = fresh.filter { recordOf(it.entry.id).asideUntil <= now }.ifEmpty { fresh }
        return sound.maxBy { worthOf(it, request, now) + random.nextDouble() * TIE_BREAK }
    }

    /** A request was sent to [id]. */
    public fun sent(id: TargetId) {
        val record = recordOf(id)
        record.sentSinceReport++
        record.outstanding++
    }

    /** A gate said what it has in hand. */
    public fun recordLoadReport(id: TargetId, loadReport: GateLoadReport) {
        val record = recordOf(id)
        record.loadReport = loadReport
        record.reportedAt = clock.now()
        record.sentSinceReport = 0
    }

    /** A request ended with the target's own answer after running [ran]; [sound] says whether it did its work. */
    public fun answered(
        id: TargetId,
        route: RouteId,
        objective: Duration,
        ran: Duration,
        bytes: Int,
        sound: Boolean,
    ) {
        val record = recordOf(id)
        record.outstanding--
        noteFailure(record, if (sound) 0.0 else 1.0)
        if (!sound) return
        val usual = runTimes.expected(route, objective)
        val ratio = (ran / usual).coerceIn(MIN_RATIO, MAX_RATIO)
        record.slowness += (ratio - record.slowness) * SMOOTHING
        runTimes.record(route, ran)
        runTimes.recordBytes(route, bytes)
    }

    /** A gate refused a request before it ran: its target is full, cold or closed. */
    public fun refused(id: TargetId, closed: Boolean) {
        val record = recordOf(id)
        record.outstanding--
        if (closed) record.asideUntil = clock.now() + ASIDE_WHEN_CLOSED
    }

    /** A request was lost, or refused by the target itself. */
    public fun failed(id: TargetId) {
        val record = recordOf(id)
        record.outstanding--
        noteFailure(record, 1.0)
    }

    /** A request was given up before anything was known of its end. */
    public fun abandoned(id: TargetId) {
        recordOf(id).outstanding--
    }

    /** Forgets targets that are gone. */
    public fun retain(ids: Set<TargetId>) {
        records.keys.retainAll(ids)
    }

    /** The share of failures, which is forgotten with time, so that a target that is sound again gets requests. */
    private fun failuresOf(record: TargetRecord, now: Duration): Double =
        record.failures * HALF.pow((now - record.failuresAt) / FAILURE_HALF_LIFE)

    private fun noteFailure(record: TargetRecord, failed: Double) {
        val now = clock.now()
        val held = failuresOf(record, now)
        record.failures = held + (failed - held) * FAILURE_SMOOTHING
        record.failuresAt = now
        if (failed > 0 && record.failures > ASIDE_FAILURES) {
            record.asideUntil = clock.now() + ASIDE_WHEN_FAILING
            record.failures = FAILURES_AFTER_ASIDE
        }
    }

    private fun worthOf(target: KnownTarget, request: PickRequest, now: Duration): Double {
        val record = recordOf(target.entry.id)
        val way = wayTo(target.entry.failureDomain)
        val run = runTimes.expected(request.route, request.objective) * record.slowness
        val finish = waitAt(target, record, run, now) + run + way.roundTrip
        val onTime = chanceBefore(finish, request.untilObjective)
        val atAll = chanceBefore(finish, request.untilDeadline)
        val credit = onTime * (1 - LATE_WORTH) + atAll * LATE_WORTH
        val sound = credit * (1 - failuresOf(record, now)).pow(FAILURE_SHARPNESS)
        val bytes = request.bodyBytes + runTimes.expectedBytes(request.route) + HEAD_BYTES
        val hurry = finish / maxOf(request.objective, SHORTEST_OBJECTIVE) * HURRY
        return sound - way.costPerByte * bytes - hurry
    }

    private fun waitAt(target: KnownTarget, record: TargetRecord, run: Duration, now: Duration): Duration {
        val loadReport =
            record.loadReport ?: return run * (record.outstanding.toDouble() / maxOf(1, target.entry.slots))
        val limit = maxOf(1, loadReport.limit)
        val age = now - record.reportedAt
        val left = (1 - age / BURDEN_MEMORY).coerceIn(0.0, 1.0)
        val load = (loadReport.inFlight + loadReport.queued) * left + record.sentSinceReport
        val forSlot = if (load < limit) Duration.ZERO else run * ((load - limit + 1) / limit)
        return maxOf(forSlot, loadReport.wait * left)
    }

    /** The chance that a run of about [finish] ends within [limit]: sure well before it, and none well after it. */
    private fun chanceBefore(finish: Duration, limit: Duration): Double {
        if (limit <= Duration.ZERO) return 0.0
        return ((SURELY_LATE - finish / limit) / (SURELY_LATE - SURELY_ON_TIME)).coerceIn(0.0, 1.0)
    }

    private fun wayTo(failureDomain: FailureDomainId): Way = when (place.distanceTo(failureDomain)) {
        Distance.SAME_DOMAIN -> Way.SAME_DOMAIN
        Distance.SAME_REGION -> Way.SAME_REGION
        Distance.OTHER_REGION -> Way.OTHER_REGION
    }

    private fun recordOf(id: TargetId): TargetRecord = records.getOrPut(id) { TargetRecord() }

    /** The way to a target: its usual time, and what a byte on it costs as a share of a request's worth. */
    private enum class Way(val roundTrip: Duration, val costPerByte: Double) {
        SAME_DOMAIN(1.milliseconds, 0.0),
        SAME_REGION(3.milliseconds, 2e-5),
        OTHER_REGION(25.milliseconds, 8e-5),
    }

    private companion object {
        const val TIE_BREAK = 0.02

        /** Bytes of both heads, beside the bodies. */
        const val HEAD_BYTES = 500.0
        const val SMOOTHING = 0.1
        const val FAILURE_SMOOTHING = 0.15
        const val FAILURE_SHARPNESS = 1.5
        const val HALF = 0.5

        /** Time in which half of what is held against a target is forgotten while nothing is sent to it. */
        val FAILURE_HALF_LIFE = 1_200.milliseconds
        const val MIN_RATIO = 0.2
        const val MAX_RATIO = 10.0

        /** Share of its worth that a request keeps when it is late. */
        const val LATE_WORTH = 0.3

        /** Part of a request's worth that a wait of one objective costs, to prefer the quicker of two sure targets. */
        const val HURRY = 0.05
        val SHORTEST_OBJECTIVE = 1.milliseconds

        /** Expected time over the limit up to which an answer is held to be sure, and from which there is no hope. */
        const val SURELY_ON_TIME = 0.6
        const val SURELY_LATE = 1.4

        /** Share of failures at which a target gets no requests for a while, and what it is held to be after that. */
        const val ASIDE_FAILURES = 0.7
        const val FAILURES_AFTER_ASIDE = 0.4
        val ASIDE_WHEN_FAILING = 1.seconds
        val ASIDE_WHEN_CLOSED = 300.milliseconds

        /** Age at which a report of burden says nothing more. */
        val BURDEN_MEMORY = 1_000.milliseconds
    }
}
