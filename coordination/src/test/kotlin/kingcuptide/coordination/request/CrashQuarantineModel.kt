package kingcuptide.coordination.request

import kingcuptide.coordination.connection.CrashRecord
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.version.TargetId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Hosts with a target each, whose callers request pages of very different popularity. Targets crash at random, alone or
 * together, and, if [harmfulPage] is set, whenever they run that page from [harmfulFrom] on. Crashes are found late and
 * told to the other hosts with a delay.
 *
 * @param clears whether survived runs are reported; without, two crashes quarantine whatever was in flight
 */
internal class CrashQuarantineModel(
    seed: Int,
    private val clears: Boolean = true,
    private val harmfulPage: Int? = null,
    private val harmfulFrom: Duration = Duration.ZERO,
) {
    private val random = Random(seed)
    private val clock = ManualClock()
    private val startedAt = clock.now()
    private val events = PriorityQueue<Event>(compareBy { it.at })
    private val hosts = List(HOSTS) { Host(it) }
    private val weights = List(PAGES) { 1.0 / (it + 1).toDouble().pow(POPULARITY_EXPONENT) }

    /** Requests that were sent, and of these the ones that were refused as quarantined. */
    var sent = 0
        private set
    var refused = 0
        private set

    /** When targets crashed because of the harmful page, since the start. */
    val harmfulCrashes = ArrayList<Duration>()

    fun run(duration: Duration): CrashQuarantineModel {
        every({ randomTime(1.seconds / REQUESTS_PER_SECOND) }) { request(randomPage()) }
        every({ randomTime(CRASH_INTERVAL) }) { crashSome() }
        every({ TICK_INTERVAL }) { hosts.forEach { it.tick() } }
        if (harmfulPage != null) every({ HARMFUL_INTERVAL }) { request(harmfulPage) }
        while (events.peek().at <= startedAt + duration) {
            val event = events.remove()
            clock.advance(event.at - clock.now())
            event.action()
        }
        return this
    }

    private fun request(page: Int) {
        val request = FingerprintInput(RouteId("r"), "GET", "/$page", ByteArray(0), "caller-${random.nextInt(CALLERS)}")
        val isCounted = page != harmfulPage
        if (isCounted) sent++
        val gate = hosts.filter { it.isUp }.randomOrNull(random) ?: return
        val isQuarantined = listOf(hosts.random(random), gate).any {
            it.suspects.verdict(request) == Verdict.QUARANTINED
        }
        if (!isQuarantined) return gate.run(request, page)
        if (isCounted) refused++
    }

    private fun crashSome() {
        val isCommonCause = random.nextDouble() < COMMON_CAUSE_SHARE
        hosts.filter { it.isUp }.shuffled(random).take(if (isCommonCause) 2 else 1).forEach { it.crash() }
    }

    private fun randomPage(): Int {
        var left = random.nextDouble() * weights.sum()
        return weights.indexOfFirst { weight -> (left - weight).also { left = it } < 0 }.coerceAtLeast(0)
    }

    private fun randomTime(mean: Duration): Duration = mean * -ln(1 - random.nextDouble())

    private fun after(delay: Duration, action: () -> Unit) {
        events += Event(clock.now() + delay, action)
    }

    private fun every(interval: () -> Duration, action: () -> Unit): Unit = after(interval()) {
        action()
        every(interval, action)
    }

    private class Event(
        val at: Duration,
        val action: () -> Unit,
    )

    private inner class Host(private val number: Int) {
        val suspects = CrashSuspects(HostId("h$number"), 1, clock)
        private val survivedRuns = SurvivedRuns(clock)
        private val inFlight = LinkedHashMap<FingerprintInput, Duration>()
        private var starts = 0
        var isUp = true
            private set

        private val target get() = TargetId("t$number-$starts")

        fun run(request: FingerprintInput, page: Int) {
            val runStartedAt = clock.now()
            val start = starts
            inFlight[request] = runStartedAt
            after(randomTime(RUN_TIME)) {
                if (!isUp || starts != start) return@after
                if (page == harmfulPage && runStartedAt >= startedAt + harmfulFrom) {
                    harmfulCrashes += clock.now() - startedAt
                    return@after crash()
                }
                inFlight -= request
                survivedRuns.responded(request, runStartedAt)
            }
        }

        fun crash() {
            isUp = false
            val crashed = target
            val candidates = inFlight.map { (request, startedAt) ->
                CrashCandidate(request, crashed, startedAt, clock.now())
            }
            inFlight.clear()
            survivedRuns.targetCrashed()
            val before = survivedRuns.latest()
            after(MAX_DETECTION_TIME * random.nextDouble()) {
                tellOthers(suspects.targetCrashed(crashed, candidates, before))
            }
            after(DOWN_TIME) {
                starts++
                isUp = true
            }
        }

        fun tick() {
            suspects.tick()
            if (clears) tellOthers(suspects.survived(survivedRuns::latest))
        }

        private fun tellOthers(records: List<CrashRecord>) {
            if (records.isEmpty()) return
            hosts.filter { it !== this }.forEach { host ->
                after(MAX_MESSAGE_TIME * random.nextDouble()) { host.suspects.merge(records) }
            }
        }
    }

    companion object {
        val HARMFUL_INTERVAL = 4.seconds
        private const val HOSTS = 7
        private const val CALLERS = 3
        private const val PAGES = 200
        private const val POPULARITY_EXPONENT = 1.2
        private const val REQUESTS_PER_SECOND = 60
        private val RUN_TIME = 250.milliseconds
        private val CRASH_INTERVAL = 10.seconds

        /** Share of the random crashes that hit two targets at once. */
        private const val COMMON_CAUSE_SHARE = 0.2
        private val DOWN_TIME = 3.seconds
        private val MAX_DETECTION_TIME = 500.milliseconds
        private val MAX_MESSAGE_TIME = 15.milliseconds
        private val TICK_INTERVAL = 100.milliseconds
    }
}
