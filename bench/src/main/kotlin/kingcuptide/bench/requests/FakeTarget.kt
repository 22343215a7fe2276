package kingcuptide.bench.requests

import kotlin.math.floor
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Capacity and speed of a target.
 *
 * @property coldStart time without overload in which the capacity of a started target grows from [coldSlots] to [slots]
 */
data class TargetShape(
    val slots: Int = 10,
    val coldSlots: Int = 1,
    val maxConnections: Int = 100,
    val coldStart: Duration = Duration.parse("20s"),
    val serviceTime: Duration = 50.milliseconds,
)

/** Result of a request at a target. */
enum class FakeTargetResult { ANSWERED, OVERLOADED, CONNECT_REFUSED, CONNECTION_LOST }

/**
 * A target that shares its processing speed among its requests in flight.
 *
 * Up to the capacity, each request runs at full speed. Above it, a warm target divides its speed among all requests; a
 * cold one collapses: the speed of each request falls with the square of the excess, and the target stops warming up.
 * It counts every run by request id.
 */
class FakeTarget(
    private val time: VirtualTime,
    private val shape: TargetShape,
    private val random: Random,
) {
    private class TargetRun(val id: Long, var remainingWork: Duration, val onResult: (FakeTargetResult) -> Unit)

    private val running = ArrayList<TargetRun>()
    private var warmFraction = 1.0
    private var updatedAt = Duration.ZERO
    private var generation = 0L

    /** Whether the process listens. */
    var isUp: Boolean = true
        private set

    /** Whether the target answers every request with 503 at once. */
    var refusesAll: Boolean = false

    /** Factor on the time that each request takes. */
    var serviceTimeFactor: Double = 1.0

    /** Called when the process ends, which a gate detects by its idle connection to the target. */
    var onProcessEnd: () -> Unit = {}

    /** Returns whether the request with this id crashes the process. */
    var crashesProcess: (Long) -> Boolean = { false }

    /** Number of starts of each request. */
    val runs: HashMap<Long, Int> = HashMap()

    /** Greatest number of requests in flight above the capacity at that moment. */
    var worstExcess: Int = 0
        private set

    /** Requests that arrived while the target was at its capacity or above it. */
    var admittedBeyond: Int = 0
        private set

    /** Number of times that a request crashed the process. */
    var crashes: Int = 0
        private set

    /** Requests in flight. */
    val inFlight: Int get() = running.size

    /** Current capacity: number of requests that run at full speed. */
    val capacity: Int
        get() {
            advance()
            return floor(shape.coldSlots + (shape.slots - shape.coldSlots) * warmFraction + ROUNDING).toInt()
        }

    /** Runs request [id], and calls [onResult] once unless the returned function is called first. */
    fun submit(id: Long, onResult: (FakeTargetResult) -> Unit): () -> Unit {
        advance()
        if (!isUp || running.size >= shape.maxConnections) return finish(onResult, FakeTargetResult.CONNECT_REFUSED)
        if (refusesAll) return finish(onResult, FakeTargetResult.OVERLOADED)
        if (running.size >= capacity) admittedBeyond++
        runs.merge(id, 1, Int::plus)
        val run = TargetRun(id, shape.serviceTime * serviceTimeFactor * (0.5 + random.nextDouble()), onResult)
        running += run
        worstExcess = maxOf(worstExcess, running.size - capacity)
        if (crashesProcess(id)) time.after(CRASH_DELAY) { if (run in running) crash() }
        reschedule()
        return { cancel(run) }
    }

    /** Ends the process; requests in flight lose their connections. */
    fun kill() {
        advance()
        isUp = false
        onProcessEnd()
        loseConnections()
    }

    /** Starts the process, cold. */
    fun start() {
        advance()
        isUp = true
        warmFraction = 0.0
        reschedule()
    }

    /** Makes the target cold without a restart; only its behaviour shows it. */
    fun turnCold() {
        advance()
        warmFraction = 0.0
        reschedule()
    }

    private fun crash() {
        crashes++
        kill()
        time.after(RESTART_DELAY) { start() }
    }

    private fun finish(onResult: (FakeTargetResult) -> Unit, result: FakeTargetResult): () -> Unit {
        time.after(LOCAL_LATENCY) { onResult(result) }
        return {}
    }

    private fun loseConnections() {
        val lost = running.toList()
        running.clear()
        reschedule()
        lost.forEach { it.onResult(FakeTargetResult.CONNECTION_LOST) }
    }

    private fun cancel(run: TargetRun) {
        advance()
        if (running.remove(run)) reschedule()
    }

    private fun advance() {
        val elapsed = time.now() - updatedAt
        updatedAt = time.now()
        if (elapsed <= Duration.ZERO) return
        val speed = speed()
        running.forEach { it.remainingWork -= elapsed * speed }
        if (isUp && speed == 1.0) warmFraction = minOf(1.0, warmFraction + elapsed / shape.coldStart)
    }

    private fun speed(): Double {
        val capacity = floor(shape.coldSlots + (shape.slots - shape.coldSlots) * warmFraction + ROUNDING)
        if (running.size <= capacity) return 1.0
        val share = capacity / running.size
        return if (warmFraction < 1.0) share * share else share
    }

    private fun reschedule() {
        val scheduled = ++generation
        val next = running.minByOrNull { it.remainingWork } ?: return
        val delay = minOf(next.remainingWork / speed(), MAX_STEP)
        time.after(maxOf(delay, MIN_STEP)) { if (scheduled == generation) step() }
    }

    private fun step() {
        advance()
        val done = running.filter { it.remainingWork <= MIN_STEP }
        running.removeAll(done.toSet())
        reschedule()
        done.forEach { it.onResult(FakeTargetResult.ANSWERED) }
    }

    private companion object {
        const val ROUNDING = 1e-9
        val LOCAL_LATENCY = Duration.parse("100us")
        val CRASH_DELAY = 5.milliseconds
        val RESTART_DELAY = 500.milliseconds
        val MIN_STEP = Duration.parse("1us")
        val MAX_STEP = 100.milliseconds
    }
}
