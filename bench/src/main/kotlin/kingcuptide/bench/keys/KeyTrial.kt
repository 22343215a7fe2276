package kingcuptide.bench.keys

import kingcuptide.bench.requests.VirtualTime
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.request.KeySettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Method that prevents a second execution of a keyed request. */
enum class KeyPolicy {
    /** A quorum of witnesses grants each execution. */
    WITNESSES,

    /** Baseline: each gate stores the keys that it executed itself. */
    GATE_TABLE,
}

/**
 * Rates of the faults injected in a trial.
 *
 * @property killsPerSecond daemons of the fleet that are killed per second, with their target, and restarted
 * @property freezesPerSecond daemons of the fleet whose process is paused per second
 * @property messageLoss fraction of the messages between daemons that is lost
 * @property responseLoss fraction of the responses that is lost on the way to the caller
 */
data class KeyFaultRates(
    val killsPerSecond: Double,
    val freezesPerSecond: Double,
    val messageLoss: Double,
    val responseLoss: Double,
)

/** Number of keys of a trial by result, and of all attempts. */
data class KeyTrialResult(
    val keys: Int,
    val ranOnce: Int,
    val ranTwice: Int,
    val neverRan: Int,
    val answered: Int,
    val alreadyUsed: Int,
    val gaveUp: Int,
    val attempts: Int,
)

/** Simulates callers that send keyed requests to random gates and retry without a response, while hosts fail. */
class KeyTrial(
    shape: KeyFleetShape,
    policy: KeyPolicy,
    private val faults: KeyFaultRates,
    private val keysPerSecond: Int,
    private val duration: Duration,
    seed: Long,
) {
    private val time = VirtualTime()
    private val random = Random(seed)
    private val settings = KeySettings()
    private val hosts = shape.entries.map { it.host }
    private val network = KeyTrialNetwork(time, random, faults.messageLoss, hosts, shape.view(), settings, policy)
    private val runs = HashMap<String, Int>()
    private var answered = 0
    private var alreadyUsed = 0
    private var gaveUp = 0
    private var attempts = 0

    /** Runs the trial to its end and returns the counts. */
    fun run(): KeyTrialResult {
        network.start()
        val callsStart = settings.holdOff + 1.seconds
        time.runUntil(callsStart)
        scheduleEvents(callsStart)
        time.runUntil(callsStart + duration + settings.resendWindow * 2)
        val keys = (duration.inWholeSeconds * keysPerSecond).toInt()
        return KeyTrialResult(
            keys = keys,
            ranOnce = runs.values.count { it == 1 },
            ranTwice = runs.values.count { it > 1 },
            neverRan = keys - runs.size,
            answered,
            alreadyUsed,
            gaveUp,
            attempts,
        )
    }

    private fun scheduleEvents(callsStart: Duration) {
        repeat((duration.inWholeSeconds * keysPerSecond).toInt()) { index ->
            time.after(callsStart - time.now() + (1.seconds / keysPerSecond) * index) {
                send("key-$index", attempt = 1)
            }
        }
        repeat((duration.inWholeSeconds * faults.killsPerSecond).toInt()) {
            time.after(duration * random.nextDouble()) { network.kill(hosts.random(random)) }
        }
        repeat((duration.inWholeSeconds * faults.freezesPerSecond).toInt()) {
            val frozenFor = 0.5.seconds + 30.seconds * random.nextDouble()
            time.after(duration * random.nextDouble()) { network.freeze(hosts.random(random), frozenFor) }
        }
    }

    private fun send(
        key: String,
        attempt: Int,
    ) {
        attempts++
        val gate = hosts.random(random)
        val call = KeyCall(key, gate, deadline = time.now() + CALL_TIMEOUT)
        time.after(CALL_TIMEOUT) { call.end(KeyCallResult.TIMED_OUT) }
        call.onResult = { result -> handleResult(key, attempt, result) }
        network.request(call) { runs.merge(key, 1, Int::plus) }
    }

    private fun handleResult(
        key: String,
        attempt: Int,
        result: KeyCallResult,
    ) {
        val responseLost = result == KeyCallResult.ANSWERED && random.nextDouble() < faults.responseLoss
        when {
            result == KeyCallResult.ANSWERED && !responseLost -> answered++
            result == KeyCallResult.ALREADY_USED -> alreadyUsed++
            attempt == MAX_ATTEMPTS -> gaveUp++
            else -> time.after(MAX_RESEND_DELAY * random.nextDouble()) { send(key, attempt + 1) }
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 6
        val CALL_TIMEOUT = 2.seconds
        val MAX_RESEND_DELAY = 5.seconds
    }
}

/** Result of one attempt, as its caller sees it. */
enum class KeyCallResult {
    ANSWERED,
    ALREADY_USED,
    REFUSED,
    TIMED_OUT,
}

/** One attempt to execute the request with [key] through [gate]. */
class KeyCall(
    val key: String,
    val gate: HostId,
    val deadline: Duration,
) {
    var onResult: ((KeyCallResult) -> Unit)? = null

    /** Reports [result] to the caller; only the first call has an effect. */
    fun end(result: KeyCallResult) {
        val report = onResult ?: return
        onResult = null
        report(result)
    }
}

/** Range of the processing time at the target. */
internal val TARGET_RUN_TIME: ClosedRange<Duration> = 20.milliseconds..120.milliseconds
