package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A kind of request that callers send to one gate.
 *
 * @property load average share of the target's slots that its first attempts would occupy
 * @property retries how often a caller retries after a refusal, at the time stated by the gate
 * @property clump number of first attempts that arrive at the same moment
 */
internal data class RequestKind(
    val name: String,
    val load: Double,
    val meanRunTime: Duration,
    val objective: Duration,
    val deadline: Duration,
    val priority: Int = 1,
    val retries: Int = 1,
    val clump: Int = 1,
)

/**
 * Results of one kind: shares of its first attempts that got a response, and the longest wait for a gate's decision.
 *
 * @property attempted number of first attempts
 * @property requested number of attempts, retries included
 */
internal data class KindResult(
    val onTime: Double,
    val late: Double,
    val longestWait: Duration,
    val attempted: Int,
    val requested: Int,
) {
    val served: Double get() = onTime + late
}

/**
 * A target that comes back cold at the start, after callers found nobody for a time.
 *
 * @property absence time before the start in which requests failed to connect
 * @property cold time from the start until the target is warm
 * @property coldPerSecond requests that it bears in any second until then
 */
internal data class ColdReturn(
    val absence: Duration,
    val cold: Duration,
    val coldPerSecond: Int,
)

/**
 * Simulates a gate and a target with log-normal run times under a load of several [kinds], on a manual clock.
 *
 * With [learnsWaits] the gate is told when a request became late by what the entry knows, the deadlines, and not by
 * when the caller sent its first attempt. Only requests first sent [measuredAfter] the start count.
 */
internal class GateSimulation(
    private val kinds: List<RequestKind>,
    private val sigma: Double,
    seed: Long,
    private val coldReturn: ColdReturn? = null,
    private val learnsWaits: Boolean = false,
    private val measuredAfter: Duration = Duration.ZERO,
) {
    private val clock = ManualClock()
    private val random = Random(seed)
    private val gate = TargetGate(clock).apply {
        slots = SLOTS
        coldFor(coldReturn?.cold ?: Duration.ZERO)
        if (coldReturn != null) coldRequestsPerSecond = coldReturn.coldPerSecond
    }
    private val waits = CallerWaits()
    private val startedAt = clock.now()
    private val events = PriorityQueue<Event>()
    private val counts = kinds.associate { it.name to Counts() }

    /** The kinds and the times after the start of all first attempts that count. */
    val firstAttempts = ArrayList<Pair<RequestKind, Duration>>()

    fun run(length: Duration = 20.seconds): Map<String, KindResult> {
        val end = clock.now() + length
        kinds.forEach { scheduleArrivals(it, end) }
        if (coldReturn != null) kinds.forEach { scheduleAbsentArrivals(it, coldReturn) }
        var tick = clock.now()
        while (tick < end) {
            tick += TargetGate.MAX_SERVE_INTERVAL
            schedule(tick) { gate.serve() }
        }
        while (events.isNotEmpty()) {
            val event = events.remove()
            clock.advance(maxOf(Duration.ZERO, event.at - clock.now()))
            event.action()
        }
        return counts.mapValues { (_, count) -> count.result() }
    }

    private fun scheduleArrivals(kind: RequestKind, end: Duration) {
        val meanInterval = kind.meanRunTime / (kind.load * SLOTS)
        var next = clock.now()
        while (next < end) {
            next += meanInterval * kind.clump * -ln(1 - random.nextDouble())
            val firstSentAt = next
            repeat(kind.clump) {
                schedule(firstSentAt) {
                    if (isMeasured(firstSentAt)) {
                        counts.getValue(kind.name).attempted++
                        firstAttempts += kind to firstSentAt - startedAt
                    }
                    attempt(kind, firstSentAt, kind.retries, patience())
                }
            }
        }
    }

    /** Callers that found nobody come back within a third of the time that they have left. */
    private fun scheduleAbsentArrivals(kind: RequestKind, coldReturn: ColdReturn) {
        val meanInterval = kind.meanRunTime / (kind.load * SLOTS)
        repeat((coldReturn.absence / meanInterval).toInt()) {
            val firstSentAt = startedAt - coldReturn.absence * random.nextDouble()
            val backAt = startedAt + kind.deadline * (random.nextDouble() / MAX_WAIT_DIVISOR)
            schedule(backAt) { attempt(kind, firstSentAt, kind.retries - 1, patience()) }
        }
    }

    private fun objectiveAt(kind: RequestKind, firstSentAt: Duration, deadline: Duration): Duration {
        if (!learnsWaits) return firstSentAt + kind.objective
        val now = clock.now()
        return now + kind.objective - waits.record(RouteId(kind.name), deadline - now)
    }

    /** Where deadlines matter to the estimate, callers start with ones that differ a little. */
    private fun patience(): Double = if (learnsWaits) 1 - MAX_IMPATIENCE * random.nextDouble() else 1.0

    private fun attempt(kind: RequestKind, firstSentAt: Duration, retries: Int, patience: Double) {
        val deadline = firstSentAt + kind.deadline * patience
        val offeredAt = clock.now()
        val count = counts.getValue(kind.name)
        if (isMeasured(firstSentAt)) count.requested++
        lateinit var request: GateRequest
        request = GateRequest(
            RouteId(kind.name),
            kind.priority,
            deadline,
            objectiveAt = objectiveAt(kind, firstSentAt, deadline),
            objective = kind.objective,
            onStart = {
                count.recordWait(clock.now() - offeredAt)
                schedule(minOf(clock.now() + runTime(kind), deadline)) { finish(kind, firstSentAt, request) }
            },
            onRefused = { refusal ->
                count.recordWait(clock.now() - offeredAt)
                val remaining = deadline - clock.now()
                val wait = minOf(refusal.retryAfter, remaining / MAX_WAIT_DIVISOR)
                if (retries > 0 && remaining > Duration.ZERO) {
                    schedule(clock.now() + wait) { attempt(kind, firstSentAt, retries - 1, patience) }
                }
            },
        )
        gate.offer(request)
    }

    private fun finish(kind: RequestKind, firstSentAt: Duration, request: GateRequest) {
        val took = clock.now() - firstSentAt
        val count = counts.getValue(kind.name)
        if (isMeasured(firstSentAt) && took <= kind.objective) {
            count.onTime++
        } else if (isMeasured(firstSentAt) && took < kind.deadline) {
            count.late++
        }
        gate.ended(request, completed = took < kind.deadline)
    }

    private fun isMeasured(firstSentAt: Duration): Boolean = firstSentAt >= startedAt + measuredAfter

    private fun runTime(kind: RequestKind): Duration =
        kind.meanRunTime * exp(sigma * random.asJavaRandom().nextGaussian() - sigma * sigma / 2)

    private fun schedule(time: Duration, action: () -> Unit) {
        events += Event(time, events.size.toLong() + ++scheduledEvents, action)
    }

    private var scheduledEvents = 0L

    private class Counts {
        var attempted = 0
        var requested = 0
        var onTime = 0
        var late = 0
        private var longestWait = Duration.ZERO

        fun recordWait(time: Duration) {
            longestWait = maxOf(longestWait, time)
        }

        fun result(): KindResult {
            val divisor = attempted.toDouble()
            return KindResult(onTime / divisor, late / divisor, longestWait, attempted, requested)
        }
    }

    private class Event(val at: Duration, val number: Long, val action: () -> Unit) : Comparable<Event> {
        override fun compareTo(other: Event): Int = compareValuesBy(this, other, Event::at, Event::number)
    }

    companion object {
        const val SLOTS = 12
        private const val MAX_IMPATIENCE = 0.15

        /** Callers wait at most a third of their remaining time before a retry. */
        private const val MAX_WAIT_DIVISOR = 3

        /** A kind of short requests; 1.0 is the [load] that occupies all [SLOTS] slots. */
        fun quick(load: Double) = RequestKind("quick", load, 90.milliseconds, 300.milliseconds, 800.milliseconds)
    }
}
