package kingcuptide.forwarder.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.DaemonLocation
import kingcuptide.coordination.version.CallerLimits
import kingcuptide.coordination.version.ForwardRoute
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.PublishedItem
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.RoutingVersion
import kingcuptide.coordination.version.ServiceTraits
import kingcuptide.coordination.version.SourceItem
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.TargetId
import kingcuptide.coordination.version.WeightedService
import kingcuptide.forwarder.VirtualTime
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.CallerRequest
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.HeaderNames
import kotlinx.coroutines.launch
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Several hosts on virtual time, each an entry and a gate beside a target of one service. Some targets name a request
 * rate, change it and withdraw it, one leaves but stays published, and hosts restart.
 *
 * [run] returns the windows in which a target got more than the users allow from entries that had received its rate, and
 * the requests that reached the leaving target from entries that had long heard of it.
 */
internal class TargetNoticeSimulation(
    seed: Int,
) {
    private val random = Random(seed)
    private val time = VirtualTime()
    private val items = HashMap<String, PublishedItem>()
    private val published = PublishedState(time, { items.getValue(it.key) })
    private val hosts = List(HOSTS) { number ->
        val target = SimulatedTarget(time, NAMES, random, number) { arrived(it, number) }
        SimulatedHost(time, NAMES, random, published, LOCATION, targetId(number), Transport(), target)
    }

    /** When each entry first passed on a response of a target with a rate, since the start of its daemon. */
    private val toldAt = HashMap<Pair<Int, Int>, Duration>()
    private val toldLeavingAt = HashMap<Int, Duration>()
    private val sentAt = HashMap<String, Duration>()
    private val lateArrivals = ArrayList<String>()
    private val countedArrivals = List(HOSTS) { ArrayList<Duration>() }
    private var lastRequest = 0
    private var answered = 0
    private var requested = 0

    /** Share of the requests that got a response of a target, after the retries of their callers. */
    val servedShare: Double get() = answered.toDouble() / requested

    fun run(): List<String> {
        publish()
        every({ TICK_INTERVAL }) { hosts.filter { it.isUp }.forEach { it.tick() } }
        every({ PING_INTERVAL }) { sendPings() }
        hosts.indices.forEach { entry -> every(::timeToNextRequest) { request(entry, RETRIES) } }
        hosts.take(LIMITED_TARGETS).forEach { host ->
            every({ randomTime(CHANGE_INTERVAL) }) { changeRate(host.target) }
        }
        time.after(randomTime(LEAVES_AFTER)) { hosts.last().target.isLeaving = true }
        every({ randomTime(RESTART_INTERVAL) }) { restart(random.nextInt(HOSTS)) }
        time.advance(DURATION)
        return hosts.indices.flatMap(::excessAt) + lateArrivals
    }

    private fun publish() {
        val service = ServiceId("s")
        val route = ForwardRoute(
            RouteId("r"),
            "h",
            "/r/",
            true,
            1,
            DEADLINE,
            OBJECTIVE,
            2,
            listOf(WeightedService(service, 1)),
            emptySet(),
        )
        val traits = ServiceTraits("/health", 1.seconds, 10.0)
        val limits = CallerLimits(1_000, 1_000, 1.seconds, 1.seconds)
        val routing = RoutingVersion(1, listOf(route), mapOf(service to traits), limits)
        items["config"] = PublishedItem.Configuration(routing)
        hosts.indices.forEach { items["t-$it"] = PublishedItem.Target(entryOf(it, service)) }
        published.apply(items.keys.mapIndexed { index, key -> SourceItem(key, index + 1L, NO_BYTES) })
    }

    private fun entryOf(number: Int, service: ServiceId) = TargetEntry(
        targetId(number),
        service,
        "192.0.2.$number",
        80,
        FailureDomainId("a"),
        "v1",
        SimulatedHost.SLOTS,
        leaving = false,
        coldFor = Duration.ZERO,
        startedAtUnixMs = 0,
        reports = 1,
    )

    private fun every(interval: () -> Duration, action: () -> Unit) {
        time.after(interval()) {
            action()
            every(interval, action)
        }
    }

    /** Returns a random time with the mean [mean]. */
    private fun randomTime(mean: Duration): Duration = mean * (0.2 + 1.6 * random.nextDouble())

    private fun timeToNextRequest(): Duration = (1.seconds / REQUESTS_PER_SECOND) * -ln(1 - random.nextDouble())

    private fun sendPings() {
        val up = hosts.filter { it.isUp }
        up.forEach { host -> up.filter { it !== host }.forEach { host.pinged(it) } }
    }

    private fun changeRate(target: SimulatedTarget) {
        val named = target.namedRates.lastOrNull()?.perSecond
        target.name(if (named != null && random.nextInt(3) == 0) null else RATES.random(random))
    }

    private fun restart(number: Int) {
        val host = hosts[number]
        if (!host.isUp) return
        host.stop()
        toldAt.keys.removeAll { it.first == number }
        toldLeavingAt -= number
        time.after(RESTART_TIME) { host.restart() }
    }

    private fun request(entry: Int, retries: Int, firstSentAt: Duration = time.now()) {
        val host = hosts[entry]
        if (!host.isUp) return
        if (retries == RETRIES) requested++
        val id = "$entry-${++lastRequest}"
        sentAt[id] = time.now()
        val leftMs = (firstSentAt + DEADLINE - time.now()).inWholeMilliseconds
        val headers = listOf("Host" to "h:80", NAMES.requestId to id, NAMES.remainingMs to "$leftMs")
        host.scope.launch {
            val response = host.entry.serve(CallerRequest("GET", "/r/x", headers, NO_BYTES, time.now()))
            responded(entry, response)
            if (response.status == 200) answered++
            val waitMs = response.headers.first("Retry-After")?.toDouble()?.times(1_000)?.toLong()
            if (waitMs != null && retries > 0 && waitMs < leftMs / 3) {
                time.after(waitMs.milliseconds) { request(entry, retries - 1, firstSentAt) }
            }
        }
    }

    private fun responded(entry: Int, response: BufferedResponse) {
        val target = response.headers.first(SimulatedTarget.NUMBER_HEADER)?.toInt() ?: return
        if (response.headers.first(NAMES.rateLimit) != null) toldAt.putIfAbsent(entry to target, time.now())
        if (response.headers.first(NAMES.leaving) != null) toldLeavingAt.putIfAbsent(entry, time.now())
    }

    private fun arrived(requestId: String, target: Int) {
        val entry = requestId.substringBefore('-').toInt()
        checkLeaving(entry, target, sentAt.getValue(requestId))
        val told = toldAt[entry to target] ?: return
        if (time.now() - told >= NOTICE) countedArrivals[target] += time.now()
    }

    private fun checkLeaving(entry: Int, target: Int, requestSentAt: Duration) {
        val told = toldLeavingAt[entry] ?: return
        if (target != HOSTS - 1 || requestSentAt - told <= DRAIN) return
        lateArrivals += "target $target got a request ${requestSentAt - told} after entry $entry heard that it leaves"
    }

    /** Returns the windows after [STABLE_WINDOW] of a named rate in which the target [number] got too many requests. */
    private fun excessAt(number: Int): List<String> {
        val arrivals = countedArrivals[number]
        return arrivals.mapNotNull { end ->
            val allowed = allowedUntil(hosts[number].target, end) ?: return@mapNotNull null
            val count = arrivals.count { it > end - WINDOW && it <= end }
            if (count <= allowed) null else "target $number got $count in $WINDOW to $end, allowed $allowed"
        }
    }

    /** Returns what a target may get in the window to [end], or null if it did not name a rate all the while. */
    private fun allowedUntil(target: SimulatedTarget, end: Duration): Double? {
        val from = end - WINDOW
        val before = target.namedRates.lastOrNull { it.at <= from - STABLE_WINDOW } ?: return null
        val changes = target.namedRates.filter { it.at > from - STABLE_WINDOW && it.at <= end }
        val spans = (listOf(before) + changes)
        if (spans.any { it.perSecond == null }) return null
        val sum = spans.mapIndexed { index, span ->
            val until = (spans.getOrNull(index + 1)?.at ?: end) + NOTICE
            val overlap = (minOf(until, end) - maxOf(span.at, from)).coerceAtLeast(Duration.ZERO)
            checkNotNull(span.perSecond) * overlap.toDouble(DurationUnit.SECONDS)
        }.sum()
        return sum * ALLOWED_FACTOR + ALLOWED_EXTRA
    }

    private inner class Transport : GateTransport {
        override fun canSend(target: KnownTarget): Boolean = hostOf(target).isUp

        override fun isToldInUse(target: KnownTarget): Boolean = true

        override fun submit(target: KnownTarget, call: ForwardCall, onResult: (ForwardResult) -> Unit): Cancellation {
            var cancellation: Cancellation? = null
            var isCancelled = false
            time.after(HOP_DELAY) {
                val host = hostOf(target)
                when {
                    isCancelled -> Unit
                    host.isUp -> cancellation = host.gate.submit(call) { time.after(HOP_DELAY) { onResult(it) } }
                    else -> onResult(UNREACHABLE)
                }
            }
            return Cancellation {
                isCancelled = true
                cancellation?.cancel() ?: true
            }
        }

        private fun hostOf(target: KnownTarget): SimulatedHost =
            hosts.first { it.targetId == target.entry.id }
    }

    companion object {
        /** Window in which requests are counted, and what the users allow in it. */
        private val WINDOW = 4.seconds
        private const val ALLOWED_FACTOR = 1.5
        private const val ALLOWED_EXTRA = 5

        /** Time after the first response with a rate from which it binds. */
        private val STABLE_WINDOW = 3.seconds

        /** Time after which an entry that has passed on a rate is counted. */
        private val NOTICE = 500.milliseconds

        /** Time after which an entry that has passed on that a target leaves may send it nothing more. */
        private val DRAIN = 2.seconds
        private val LEAVES_AFTER = 20.seconds
        private val RATES = listOf(0.0, 0.7, 2.5, 5.6, 12.9, 30.0)
        private const val HOSTS = 6
        private const val LIMITED_TARGETS = 2
        private const val REQUESTS_PER_SECOND = 20.0
        private const val RETRIES = 2
        private val DEADLINE = 3.seconds
        private val OBJECTIVE = 500.milliseconds
        private val DURATION = 60.seconds
        private val PING_INTERVAL = 1.seconds
        private val TICK_INTERVAL = 20.milliseconds
        private val CHANGE_INTERVAL = 8.seconds
        private val RESTART_INTERVAL = 15.seconds
        private val RESTART_TIME = 1.seconds
        private val HOP_DELAY = 2.milliseconds
        private val UNREACHABLE =
            ForwardResult.Refused(ResultCode.PEER_UNREACHABLE, HOP_DELAY, reachedTarget = false, loadReport = null)
        private val NAMES =
            HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
        private val LOCATION = DaemonLocation(FailureDomainId("a"), RegionId("north")) { RegionId("north") }

        private fun targetId(number: Int) = TargetId("t-$number")
    }
}
