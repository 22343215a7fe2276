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
 * @property load share of the target's slots that its first attempts would keep busy
 * @property retries how often a caller comes back after a refusal, when it was told to
 */
internal data class LoadKind(
    val name: String,
    val load: Double,
    val usualRun: Duration,
    val objective: Duration,
    val deadline: Duration,
    val priority: Int = 1,
    val retries: Int = 1,
)

/** What became of the requests of one kind, as shares of those asked, and the longest time that one waited for a word. */
internal data class LoadResult(
    val onTime: Double,
    val late: Double,
    val longestWait: Duration,
) {
    val served: Double get() = onTime + late
}

/** Plays requests of some kinds against one gate and a target whose runs differ in length, on a clock of its own. */
internal class GateLoad(
    private val kinds: List<LoadKind>,
    private val spread: Double,
    seed: Long,
) {
    private val clock = ManualClock()
    private val random = Random(seed)
    private val gate = TargetGate(clock).apply {
        slots = SLOTS
        coldFor(Duration.ZERO)
    }
    private val events = PriorityQueue<Event>()
    private val counts = kinds.associate { it.name to Counts() }

    fun play(length: Duration = 20.seconds): Map<String, LoadResult> {
        val end = clock.now() + length
        kinds.forEach { plan(it, end) }
        var tick = clock.now()
        while (tick < end) {
            tick += TargetGate.MAX_SERVE_INTERVAL
            at(tick) { gate.serve() }
        }
        while (events.isNotEmpty()) {
            val event = events.remove()
            clock.advance(maxOf(Duration.ZERO, event.at - clock.now()))
            event.action()
        }
        return counts.mapValues { (_, count) -> count.result() }
    }

    private fun plan(kind: LoadKind, end: Duration) {
        val pause = kind.usualRun / (kind.load * SLOTS)
        var next = clock.now()
        while (next < end) {
            next += pause * -ln(1 - random.nextDouble())
            val first = next
            at(first) {
                counts.getValue(kind.name).asked++
                attempt(kind, first, kind.retries)
            }
        }
    }

    private fun attempt(kind: LoadKind, first: Duration, retries: Int) {
        val deadline = first + kind.deadline
        val offeredAt = clock.now()
        val count = counts.getValue(kind.name)
        lateinit var request: GateRequest
        request = GateRequest(
            RouteId(kind.name),
            kind.priority,
            deadline,
            objectiveAt = first + kind.objective,
            objective = kind.objective,
            onStart = {
                count.waited(clock.now() - offeredAt)
                at(minOf(clock.now() + runTime(kind), deadline)) { ended(kind, first, request) }
            },
            onRefused = { refusal ->
                count.waited(clock.now() - offeredAt)
                val left = deadline - clock.now()
                val wait = minOf(refusal.retryAfter, left / LONGEST_WAIT_PART)
                if (retries > 0 && left > Duration.ZERO) at(clock.now() + wait) { attempt(kind, first, retries - 1) }
            },
        )
        gate.offer(request)
    }

    private fun ended(kind: LoadKind, first: Duration, request: GateRequest) {
        val took = clock.now() - first
        val count = counts.getValue(kind.name)
        if (took <= kind.objective) {
            count.onTime++
        } else if (took < kind.deadline) {
            count.late++
        }
        gate.ended(request, completed = took < kind.deadline)
    }

    private fun runTime(kind: LoadKind): Duration =
        kind.usualRun * exp(spread * random.asJavaRandom().nextGaussian() - spread * spread / 2)

    private fun at(time: Duration, action: () -> Unit) {
        events += Event(time, events.size.toLong() + ++planned, action)
    }

    private var planned = 0L

    private class Counts {
        var asked = 0
        var onTime = 0
        var late = 0
        private var longestWait = Duration.ZERO

        fun waited(time: Duration) {
            longestWait = maxOf(longestWait, time)
        }

        fun result() = LoadResult(onTime.toDouble() / asked, late.toDouble() / asked, longestWait)
    }

    private class Event(val at: Duration, val number: Long, val action: () -> Unit) : Comparable<Event> {
        override fun compareTo(other: Event): Int = compareValuesBy(this, other, Event::at, Event::number)
    }

    companion object {
        const val SLOTS = 12

        /** Callers wait no longer than a third of the time they have left. */
        private const val LONGEST_WAIT_PART = 3

        /** A quick kind, as a target of [SLOTS] slots gets it. */
        fun quick(load: Double) = LoadKind("quick", load, 90.milliseconds, 300.milliseconds, 800.milliseconds)
    }
}
