package kingcuptide.bench.keys

import kingcuptide.bench.requests.VirtualTime
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.request.KeySettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How the fleet of a trial keeps keys from running twice. */
enum class KeyPolicy {
    /** A quorum of witnesses grants each run. */
    WITNESSES,

    /** Each gate remembers the keys that it ran itself. */
    GATE_TABLE,
}

/**
 * How often things fail in a trial.
 *
 * @property killsPerSecond daemons, with their targets, that are killed and restarted, over the fleet
 * @property freezesPerSecond daemons that freeze, over the fleet
 * @property messageLoss share of the messages between daemons that are lost
 * @property answerLoss share of the answers that never reach the caller
 */
data class KeyFaultRates(
    val killsPerSecond: Double,
    val freezesPerSecond: Double,
    val messageLoss: Double,
    val answerLoss: Double,
)

/** What came of the keys of a trial. */
data class KeyTrialResult(
    val keys: Int,
    val ranOnce: Int,
    val ranTwice: Int,
    val neverRan: Int,
    val answered: Int,
    val toldAlreadyUsed: Int,
    val gaveUp: Int,
    val attempts: Int,
)

/** Callers that send keyed requests to random gates, and send them again when they get no answer, while hosts fail. */
class KeyTrial(
    shape: KeyFleetShape,
    policy: KeyPolicy,
    private val faults: KeyFaultRates,
    private val keysPerSecond: Int,
    private val length: Duration,
    seed: Long,
) {
    private val time = VirtualTime()
    private val random = Random(seed)
    private val settings = KeySettings()
    private val hosts = shape.entries.map { it.host }
    private val network = KeyTrialNetwork(time, random, faults.messageLoss, hosts, shape.view(), settings, policy)
    private val runs = HashMap<String, Int>()
    private var answered = 0
    private var toldAlreadyUsed = 0
    private var gaveUp = 0
    private var attempts = 0

    /** Plays the trial and returns what came of it. */
    fun run(): KeyTrialResult {
        network.start()
        val begin = settings.holdOff + 1.seconds
        time.runUntil(begin)
        schedule(begin)
        time.runUntil(begin + length + settings.resendWindow * 2)
        val keys = (length.inWholeSeconds * keysPerSecond).toInt()
        return KeyTrialResult(
            keys = keys,
            ranOnce = runs.values.count { it == 1 },
            ranTwice = runs.values.count { it > 1 },
            neverRan = keys - runs.size,
            answered,
            toldAlreadyUsed,
            gaveUp,
            attempts,
        )
    }

    private fun schedule(begin: Duration) {
        repeat((length.inWholeSeconds * keysPerSecond).toInt()) { index ->
            time.after(begin - time.now() + (1.seconds / keysPerSecond) * index) { send("key-$index", attempt = 1) }
        }
        repeat((length.inWholeSeconds * faults.killsPerSecond).toInt()) {
            time.after(length * random.nextDouble()) { network.kill(hosts.random(random)) }
        }
        repeat((length.inWholeSeconds * faults.freezesPerSecond).toInt()) {
            val frozenFor = 0.5.seconds + 30.seconds * random.nextDouble()
            time.after(length * random.nextDouble()) { network.freeze(hosts.random(random), frozenFor) }
        }
    }

    private fun send(
        key: String,
        attempt: Int,
    ) {
        attempts++
        val gate = hosts.random(random)
        val call = KeyCall(key, gate, deadline = time.now() + DEADLINE)
        time.after(DEADLINE) { call.end(KeyCallEnd.SILENCE) }
        call.onEnd = { end -> ended(key, attempt, end) }
        network.request(call) { runs.merge(key, 1, Int::plus) }
    }

    private fun ended(
        key: String,
        attempt: Int,
        end: KeyCallEnd,
    ) {
        val lost = end == KeyCallEnd.ANSWERED && random.nextDouble() < faults.answerLoss
        when {
            end == KeyCallEnd.ANSWERED && !lost -> answered++
            end == KeyCallEnd.ALREADY_USED -> toldAlreadyUsed++
            attempt == MAX_ATTEMPTS -> gaveUp++
            else -> time.after(RESEND_AFTER * random.nextDouble()) { send(key, attempt + 1) }
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 6
        val DEADLINE = 2.seconds
        val RESEND_AFTER = 5.seconds
    }
}

/** How one sending of a key ended for its caller. */
enum class KeyCallEnd {
    ANSWERED,
    ALREADY_USED,
    REFUSED,
    SILENCE,
}

/** One sending of a key. */
class KeyCall(
    val key: String,
    val gate: HostId,
    val deadline: Duration,
) {
    var onEnd: ((KeyCallEnd) -> Unit)? = null

    /** Ends the call once; later ends change nothing. */
    fun end(how: KeyCallEnd) {
        val ended = onEnd ?: return
        onEnd = null
        ended(how)
    }
}

/** How long a run takes at the target. */
internal val RUN_TIME: ClosedRange<Duration> = 20.milliseconds..120.milliseconds
