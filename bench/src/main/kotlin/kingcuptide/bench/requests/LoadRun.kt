package kingcuptide.bench.requests

import kingcuptide.coordination.process.ResultCode
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A load of independent callers at random entries.
 *
 * @property perSecond mean number of requests in a second
 * @property until time at which the load ends
 * @property idempotentPercent percentage of idempotent requests
 * @property timeout time from the start of a request to its deadline
 */
data class Load(
    val perSecond: Double,
    val until: Duration,
    val idempotentPercent: Int = 80,
    val timeout: Duration = 2.seconds,
)

/** Results, for their callers, of the requests that began in one second. */
class Second {
    private val latencies = ArrayList<Duration>()
    private val failures = HashMap<Pair<ResultCode, Boolean>, Int>()

    /** Requests started. */
    var sent: Int = 0
        private set

    /** Attempts of the requests that have ended. */
    var attempts: Int = 0
        private set

    /** Requests answered. */
    val answered: Int get() = latencies.size

    /** Share of the requests that were answered. */
    val successRatio: Double get() = if (sent == 0) 1.0 else answered.toDouble() / sent

    /** 99th percentile of the latency of answered requests; zero if there are none. */
    val p99: Duration
        get() = if (latencies.isEmpty()) Duration.ZERO else latencies.sorted()[(latencies.size - 1) * 99 / 100]

    /** Counts a request. */
    fun begin() {
        sent++
    }

    /** Records the result of a request that began in this second. */
    fun finish(result: CallResult, latency: Duration) {
        attempts += result.attempts
        val code = result.code
        if (code == null) latencies += latency else failures.merge(code to result.call.idempotent, 1, Int::plus)
    }

    /** Returns the number of failed requests that are idempotent, or that are not. */
    fun failed(idempotent: Boolean): Int = failures.filterKeys { it.second == idempotent }.values.sum()

    /** Returns the number of failures by code. */
    fun failuresByCode(): Map<ResultCode, Int> =
        failures.entries.groupBy({ it.key.first }, { it.value }).mapValues { it.value.sum() }
}

/** Applies a load to [policy] and records the results. */
class LoadRun(
    private val fleet: FakeFleet,
    private val policy: Policy,
    private val random: Random,
) {
    /** Results by the second in which the request began. */
    val seconds: MutableList<Second> = ArrayList()

    /** Results of all calls that have ended, by call id. */
    val results: HashMap<Long, CallResult> = HashMap()

    /** Called with each call and the function that reports that its caller disconnected. */
    var onStart: (Call, () -> Unit) -> Unit = { _, _ -> }

    private val entries = fleet.hosts.values.toList()
    private var nextId = 1L

    /** Starts the load; calls arrive as a Poisson process until its end. */
    fun start(load: Load) {
        val gap = (-ln(1 - random.nextDouble()) / load.perSecond).seconds
        fleet.time.after(gap) {
            if (fleet.time.now() >= load.until) return@after
            begin(load)
            start(load)
        }
    }

    /** Returns the greatest number of starts of a non-idempotent request. */
    fun worstRunsOfNonRepeatable(): Int {
        val runs = HashMap<Long, Int>()
        for (host in fleet.targets()) host.target!!.runs.forEach { (id, count) -> runs.merge(id, count, Int::plus) }
        return runs.filterKeys { results[it]?.call?.idempotent == false }.values.maxOrNull() ?: 0
    }

    /** Returns the number of requests that had run although their refusal reports that they did not. */
    fun untrueRefusals(): Int {
        val ran = fleet.targets().flatMapTo(HashSet()) { it.target!!.runs.keys }
        return results.values.count {
            it.outcome == kingcuptide.coordination.request.Outcome.NOT_RUN &&
                it.call.id in ran
        }
    }

    private fun begin(load: Load) {
        val entry = entries.filter { it.isUp && it.leavingSince == null && it.frozenEvents == null }.random(random)
        val now = fleet.time.now()
        val second = secondAt(now)
        val idempotent = random.nextInt(100) < load.idempotentPercent
        val call = Call(nextId++, entry, deadline = now + load.timeout, idempotent = idempotent)
        second.begin()
        val cancel = policy.start(call) { result ->
            results[call.id] = result
            second.finish(result, fleet.time.now() - now)
        }
        onStart(call, cancel)
    }

    private fun secondAt(now: Duration): Second {
        val index = now.inWholeSeconds.toInt()
        while (seconds.size <= index) seconds += Second()
        return seconds[index]
    }

    companion object {
        /** Time after the end of a load in which all its calls end. */
        val SETTLING: Duration = 3_000.milliseconds
    }
}
