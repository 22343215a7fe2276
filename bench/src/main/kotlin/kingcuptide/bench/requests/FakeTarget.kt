package kingcuptide.bench.requests

import kotlin.math.floor
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a target bears and how fast it is.
 *
 * @property coldStart time without overload in which a freshly started target gets from [coldSlots] to [slots]
 */
data class TargetShape(
    val slots: Int = 10,
    val coldSlots: Int = 1,
    val maxConnections: Int = 100,
    val coldStart: Duration = Duration.parse("20s"),
    val serviceTime: Duration = 50.milliseconds,
)

/** How a target ended a request. */
enum class TargetEnd { ANSWERED, OVERLOADED, CONNECT_REFUSED, CONNECTION_LOST }

/**
 * A target as a set of requests that share its speed.
 *
 * Up to what it bears, each request runs at full speed. Beyond, a warm target shares its speed among all, and a cold one
 * collapses: the speed of each falls with the square of the excess, and it stops warming up. It counts every run by
 * request id.
 */
class FakeTarget(
    private val time: VirtualTime,
    private val shape: TargetShape,
    private val random: Random,
) {
    private class Run(val id: Long, var workLeft: Duration, val onEnd: (TargetEnd) -> Unit)

    private val running = ArrayList<Run>()
    private var warmth = 1.0
    private var updatedAt = Duration.ZERO
    private var generation = 0L

    /** Whether the process listens. */
    var isUp: Boolean = true
        private set

    /** Answers 503 at once. */
    var refusesAll: Boolean = false

    /** Factor on the time that each request takes. */
    var slowness: Double = 1.0

    /** Told when the process ends, as an idle connection held open would tell. */
    var onProcessEnd: () -> Unit = {}

    /** Requests that kill the process. */
    var killers: (Long) -> Boolean = { false }

    /** Number of starts of each request. */
    val runs: HashMap<Long, Int> = HashMap()

    /** Greatest number of requests in flight beyond what the target bore at that moment. */
    var worstExcess: Int = 0
        private set

    /** Requests that came while the target had as many as it bears, or more. */
    var admittedBeyond: Int = 0
        private set

    /** Number of times that a request killed the process. */
    var deaths: Int = 0
        private set

    /** Requests in flight. */
    val inFlight: Int get() = running.size

    /** Requests that the target bears at this moment. */
    val bears: Int
        get() {
            advance()
            return floor(shape.coldSlots + (shape.slots - shape.coldSlots) * warmth + ROUNDING).toInt()
        }

    /** Runs request [id], and calls [onEnd] once unless the returned function is called first. */
    fun submit(id: Long, onEnd: (TargetEnd) -> Unit): () -> Unit {
        advance()
        if (!isUp || running.size >= shape.maxConnections) return ended(onEnd, TargetEnd.CONNECT_REFUSED)
        if (refusesAll) return ended(onEnd, TargetEnd.OVERLOADED)
        if (running.size >= bears) admittedBeyond++
        runs.merge(id, 1, Int::plus)
        val run = Run(id, shape.serviceTime * slowness * (0.5 + random.nextDouble()), onEnd)
        running += run
        worstExcess = maxOf(worstExcess, running.size - bears)
        if (killers(id)) time.after(KILL_DELAY) { if (run in running) dieOf() }
        reschedule()
        return { cancel(run) }
    }

    /** Ends the process; requests in flight lose their connections. */
    fun kill() {
        advance()
        isUp = false
        onProcessEnd()
        loseAll()
    }

    /** Starts the process, cold. */
    fun start() {
        advance()
        isUp = true
        warmth = 0.0
        reschedule()
    }

    /** Turns cold without any sign but its behaviour. */
    fun turnCold() {
        advance()
        warmth = 0.0
        reschedule()
    }

    private fun dieOf() {
        deaths++
        kill()
        time.after(RESTART_DELAY) { start() }
    }

    private fun ended(onEnd: (TargetEnd) -> Unit, end: TargetEnd): () -> Unit {
        time.after(LOCAL_LATENCY) { onEnd(end) }
        return {}
    }

    private fun loseAll() {
        val lost = running.toList()
        running.clear()
        reschedule()
        lost.forEach { it.onEnd(TargetEnd.CONNECTION_LOST) }
    }

    private fun cancel(run: Run) {
        advance()
        if (running.remove(run)) reschedule()
    }

    private fun advance() {
        val elapsed = time.now() - updatedAt
        updatedAt = time.now()
        if (elapsed <= Duration.ZERO) return
        val speed = speed()
        running.forEach { it.workLeft -= elapsed * speed }
        if (isUp && speed == 1.0) warmth = minOf(1.0, warmth + elapsed / shape.coldStart)
    }

    private fun speed(): Double {
        val bears = floor(shape.coldSlots + (shape.slots - shape.coldSlots) * warmth + ROUNDING)
        if (running.size <= bears) return 1.0
        val share = bears / running.size
        return if (warmth < 1.0) share * share else share
    }

    private fun reschedule() {
        val scheduled = ++generation
        val next = running.minByOrNull { it.workLeft } ?: return
        val delay = minOf(next.workLeft / speed(), MAX_STEP)
        time.after(maxOf(delay, MIN_STEP)) { if (scheduled == generation) step() }
    }

    private fun step() {
        advance()
        val done = running.filter { it.workLeft <= MIN_STEP }
        running.removeAll(done.toSet())
        reschedule()
        done.forEach { it.onEnd(TargetEnd.ANSWERED) }
    }

    private companion object {
        const val ROUNDING = 1e-9
        val LOCAL_LATENCY = Duration.parse("100us")
        val KILL_DELAY = 5.milliseconds
        val RESTART_DELAY = 500.milliseconds
        val MIN_STEP = Duration.parse("1us")
        val MAX_STEP = 100.milliseconds
    }
}
