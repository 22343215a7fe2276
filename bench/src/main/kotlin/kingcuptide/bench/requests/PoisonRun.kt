package kingcuptide.bench.requests

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Fingerprint
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Effects of a request that crashes each target that runs it.
 *
 * @property crashes target crashes that it caused
 * @property lastCode result code of the last time that it was sent; null if it was answered
 * @property othersSent other requests that ended
 * @property failedOthers other idempotent requests that failed
 */
data class PoisonResult(
    val crashes: Int,
    val lastCode: ResultCode?,
    val othersSent: Int,
    val failedOthers: Int,
)

/** Repeatedly sends a request that crashes targets through random entries, beside a normal load. */
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
    private var nextId = FIRST_POISON_ID

    /** Runs for [RUN_TIME] after the request is first sent. */
    fun run(): PoisonResult {
        scenario.fleet.targets().forEach { host -> host.target!!.crashesProcess = { it >= FIRST_POISON_ID } }
        repeat(callers) { scenario.time.after(START) { send() } }
        scenario.run(Load(scenario.capacityPerSecond * UTILIZATION, until = START + RUN_TIME, idempotentPercent = 80))
        val others = scenario.load.results.values
        return PoisonResult(
            crashes = scenario.fleet.targets().sumOf { it.target!!.crashes },
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
            fingerprint = Fingerprint(FIRST_POISON_ID),
        )
        scenario.policy.start(call) { result ->
            lastCode = result.code
            scenario.time.after(maxOf(resendAfter, 1.milliseconds)) { send() }
        }
    }

    companion object {
        private const val FIRST_POISON_ID = 1_000_000_000L
        private const val UTILIZATION = 0.4
        private val START = 6.seconds

        /** Time for which the callers keep sending the request. */
        val RUN_TIME: Duration = 30.seconds
    }
}
