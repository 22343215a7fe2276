package kingcuptide.bench.requests

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Fingerprint
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What came of a request that kills each target it runs at.
 *
 * @property deaths targets that it killed
 * @property lastCode what its caller was told in the end
 * @property failedOthers other requests that could be repeated and failed
 */
data class PoisonResult(
    val deaths: Int,
    val lastCode: ResultCode?,
    val othersSent: Int,
    val failedOthers: Int,
)

/** Sends a request that kills targets again and again through random entries, among a usual load. */
class PoisonRun(
    private val shape: FleetShape,
    private val seed: Long,
    private val resendAfter: Duration,
    private val callers: Int = 1,
    private val plain: Boolean = false,
) {
    private val random = Random(seed)
    private val scenario = Scenario(shape, TargetShape(coldStart = 2.seconds), seed, plain)
    private var lastCode: ResultCode? = null
    private var nextId = POISON_IDS

    /** Runs for [RUN_TIME] after the first sending. */
    fun run(): PoisonResult {
        scenario.fleet.targets().forEach { host -> host.target!!.killers = { it >= POISON_IDS } }
        repeat(callers) { scenario.time.after(START) { send() } }
        scenario.run(Load(scenario.capacityPerSecond * UTILIZATION, until = START + RUN_TIME, repeatablePercent = 80))
        val others = scenario.load.ends.values
        return PoisonResult(
            deaths = scenario.fleet.targets().sumOf { it.target!!.deaths },
            lastCode = lastCode,
            othersSent = others.size,
            failedOthers = others.count { it.code != null && it.call.idempotent },
        )
    }

    private fun send() {
        if (scenario.time.now() >= START + RUN_TIME) return
        val entry = scenario.fleet.hosts.values.random(random)
        val call = Call(
            id = nextId++,
            entry = entry,
            deadline = scenario.time.now() + 2.seconds,
            idempotent = true,
            fingerprint = Fingerprint(POISON_IDS),
        )
        scenario.policy.start(call) { end ->
            lastCode = end.code
            scenario.time.after(maxOf(resendAfter, 1.milliseconds)) { send() }
        }
    }

    companion object {
        private const val POISON_IDS = 1_000_000_000L
        private const val UTILIZATION = 0.4
        private val START = 6.seconds

        /** How long the caller keeps sending. */
        val RUN_TIME: Duration = 30.seconds
    }
}
