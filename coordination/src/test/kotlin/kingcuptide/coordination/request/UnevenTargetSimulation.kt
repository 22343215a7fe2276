package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.TargetId
import java.util.PriorityQueue
import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sin
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The load of an [UnevenTargetSimulation].
 *
 * @property load mean demand as a share of the capacity of all targets
 * @property amplitude of the demand of each failure domain, as a share of its mean; the domains are out of phase
 * @property responseReports whether responses carry load reports, as in the daemon; otherwise all are 1 to 3 s old
 * @property slowedTarget target that is five times slower from [slowedAt] to [slowedUntil], or -1 for none
 */
internal data class UnevenLoad(
    val load: Double = 0.85,
    val speeds: List<Double> = UNEVEN_SPEEDS,
    val amplitude: Double = 0.55,
    val wavePeriod: Duration = 40.seconds,
    val slowPeriods: Boolean = true,
    val responseReports: Boolean = false,
    val slowedTarget: Int = -1,
    val slowedAt: Duration = 60.seconds,
    val slowedUntil: Duration = Duration.INFINITE,
    val length: Duration = 100.seconds,
) {
    companion object {
        val UNEVEN_SPEEDS = listOf(0.5, 1.0, 1.6, 0.9, 0.7, 1.2, 0.8, 1.5, 1.3, 0.6, 1.1, 0.8)
    }
}

/** Simulates 60 entries and 24 gates with targets of different speed on a manual clock. */
internal class UnevenTargetSimulation(
    private val load: UnevenLoad,
    seed: Long,
    private val reportsRunTimes: Boolean,
) {
    private class Arrival(val at: Duration, val entry: Int, val route: RouteId, val work: Duration)

    private class Event(val at: Duration, val number: Long, val action: () -> Unit)

    private val clock = ManualClock()
    private val origin = clock.now()
    private val arrivalRandom = Random(seed)
    private val slowRandom = Random(seed + 1)
    private val events = PriorityQueue<Event>(compareBy(Event::at, Event::number))
    private var eventCount = 0L
    private val speeds = List(TARGETS) { load.speeds[(it / DOMAINS + it % DOMAINS * 2) % load.speeds.size] }
    private val targets = List(TARGETS) { targetOf(it) }
    private val slowPeriods = List(TARGETS) { if (load.slowPeriods) drawSlowPeriods() else emptyList() }
    private val gates = List(TARGETS) {
        TargetGate(clock).apply {
            slots = SLOTS
            coldFor(Duration.ZERO)
        }
    }
    private val pickers = List(ENTRIES) { TargetPicker(clock, locationOf(it % DOMAINS), Random(seed + 100 + it)) }
    private val arrivals = drawArrivals()
    val result = UnevenResult(TARGETS)

    fun run(): UnevenResult {
        arrivals.forEach { schedule(it.at) { Attempt(it).send() } }
        gates.indices.forEach { target ->
            repeatEvery(TargetGate.MAX_SERVE_INTERVAL, Duration.ZERO) { gates[target].serve() }
            repeatEvery(REPORT_INTERVAL, REPORT_INTERVAL * (target.toDouble() / TARGETS)) { publishReport(target) }
        }
        pickers.indices.forEach { entry ->
            repeatEvery(REPORT_INTERVAL, REPORT_INTERVAL * (entry.toDouble() / ENTRIES)) { publishDemand(entry) }
        }
        repeatEvery(SAMPLE_INTERVAL, Duration.ZERO) { if (elapsed() >= WARM_UP) sampleLoads() }
        while (events.isNotEmpty()) {
            val event = events.remove()
            clock.advance(maxOf(Duration.ZERO, event.at - clock.now()))
            event.action()
        }
        return result
    }

    /** Returns mean wait and mean time to the response of one queue for all targets, on the same arrivals. */
    fun globalQueue(): Pair<Duration, Duration> {
        val free = speeds.indices.sortedByDescending { speeds[it] }.flatMap { target -> List(SLOTS) { target } }
            .mapTo(PriorityQueue(compareByDescending<Int> { speeds[it] })) { it }
        val busy = PriorityQueue<Pair<Duration, Int>>(compareBy { it.first })
        var wait = Duration.ZERO
        var took = Duration.ZERO
        var count = 0
        for (arrival in arrivals) {
            while (busy.isNotEmpty() && busy.peek().first <= arrival.at) free += busy.remove().second
            val (startedAt, target) = if (free.isEmpty()) busy.remove() else arrival.at to free.remove()
            val endedAt = endOf(target, startedAt, arrival.work)
            busy += endedAt to target
            if (arrival.at - origin < WARM_UP) continue
            count++
            wait += startedAt - arrival.at
            took += endedAt - arrival.at
        }
        return wait / count to took / count
    }

    private fun drawArrivals(): List<Arrival> {
        val capacity = speeds.sum() * SLOTS
        val peak = capacity * load.load / MEAN_WORK.inWholeMicroseconds * 1e6 * (1 + load.amplitude)
        val drawn = ArrayList<Arrival>()
        var at = 0.0
        while (at < load.length.inWholeMilliseconds / 1e3) {
            at += -ln(1 - arrivalRandom.nextDouble()) / peak
            val entry = arrivalRandom.nextInt(ENTRIES)
            val phase = at / (load.wavePeriod.inWholeMilliseconds / 1e3) + entry % DOMAINS / DOMAINS.toDouble()
            val demand = (1 + load.amplitude * sin(2 * PI * phase)) / (1 + load.amplitude)
            val kind = if (arrivalRandom.nextDouble() < SHORT_SHARE) SHORT else LONG
            val spread = exp(SIGMA * arrivalRandom.asJavaRandom().nextGaussian() - SIGMA * SIGMA / 2)
            if (arrivalRandom.nextDouble() >= demand) continue
            drawn += Arrival(origin + at.seconds, entry, kind.first, kind.second * spread)
        }
        return drawn
    }

    private fun drawSlowPeriods(): List<Duration> = buildList {
        var at = origin
        while (at < origin + load.length) {
            at += MEAN_TIME_BETWEEN_SLOW_PERIODS * -ln(1 - slowRandom.nextDouble())
            add(at)
        }
    }

    /** Returns when [work] at [target] ends; its speed changes in slow periods and while it is slowed. */
    private fun endOf(target: Int, startedAt: Duration, work: Duration): Duration {
        val changes = slowPeriods[target].flatMap { listOf(it, it + SLOW_PERIOD) }.toMutableList()
        if (target == load.slowedTarget) changes += listOf(origin + load.slowedAt, origin + load.slowedUntil)
        var at = startedAt
        var left = work
        for (change in changes.filter { it > startedAt }.sorted()) {
            val speed = speedAt(target, at)
            if (left / speed <= change - at) break
            left -= (change - at) * speed
            at = change
        }
        return at + left / speedAt(target, at)
    }

    private fun speedAt(target: Int, at: Duration): Double {
        val isSlow = slowPeriods[target].any { at >= it && at < it + SLOW_PERIOD }
        val isSlowed = target == load.slowedTarget && at - origin >= load.slowedAt && at - origin < load.slowedUntil
        return speeds[target] / (if (isSlow) SLOW_FACTOR else 1.0) / (if (isSlowed) SLOWED_FACTOR else 1.0)
    }

    private fun publishReport(target: Int) {
        val report = reportOf(target)
        schedule(clock.now() + REPORT_DELAY) {
            pickers.forEach { it.recordLoadReport(targets[target].entry.id, report) }
        }
    }

    private fun publishDemand(entry: Int) {
        if (!reportsRunTimes) return
        val demand = pickers[entry].ownDemand()
        schedule(clock.now() + REPORT_DELAY) {
            pickers.forEachIndexed { other, picker ->
                if (other != entry) picker.recordDemand(TargetId("e$entry"), domainId(entry % DOMAINS), demand)
            }
        }
    }

    private fun reportOf(target: Int): GateLoadReport {
        val report = gates[target].loadReport()
        return if (reportsRunTimes) report else report.copy(runTimes = emptyMap())
    }

    private fun sampleLoads() = result.sample(
        elapsed(),
        gates.mapIndexed { target, gate -> (gate.inFlight + gate.queued).toDouble() / SLOTS / speeds[target] },
    )

    private inner class Attempt(private val arrival: Arrival) {
        private val picker = pickers[arrival.entry]
        private val tried = LinkedHashSet<TargetId>()

        fun send() {
            val objectiveAt = arrival.at + OBJECTIVE
            val now = clock.now()
            val request =
                PickRequest(arrival.route, OBJECTIVE, objectiveAt - now, arrival.at + DEADLINE - now, 0, tried)
            val target = checkNotNull(picker.pick(targets, request)).target
            tried += target.entry.id
            picker.sent(target.entry.id)
            val index = targets.indexOf(target)
            val oneWay = oneWayTo(index)
            if (isMeasured()) result.sent(elapsed(), index, arrival.entry % DOMAINS, index % DOMAINS)
            schedule(now + oneWay) { arriveAt(index, oneWay, objectiveAt) }
        }

        private fun arriveAt(target: Int, oneWay: Duration, objectiveAt: Duration) {
            lateinit var request: GateRequest
            request = GateRequest(
                arrival.route,
                1,
                arrival.at + DEADLINE,
                objectiveAt,
                OBJECTIVE,
                onStart = { started(target, request, oneWay) },
                onRefused = { schedule(clock.now() + oneWay) { refused(target) } },
            )
            gates[target].offer(request)
        }

        private fun started(target: Int, request: GateRequest, oneWay: Duration) {
            val startedAt = clock.now()
            schedule(endOf(target, startedAt, arrival.work)) {
                val ran = clock.now() - startedAt
                gates[target].ended(request, completed = true)
                val report = reportOf(target)
                schedule(clock.now() + oneWay) {
                    val id = targets[target].entry.id
                    if (load.responseReports) picker.recordLoadReport(id, report)
                    picker.answered(id, arrival.route, OBJECTIVE, ran, RESPONSE_BYTES, successful = true)
                    if (isMeasured()) result.answered(startedAt - arrival.at, clock.now() - arrival.at)
                }
            }
        }

        private fun refused(target: Int) {
            if (load.responseReports) picker.recordLoadReport(targets[target].entry.id, reportOf(target))
            picker.refused(targets[target].entry.id, closed = false)
            if (isMeasured()) result.refusals++
            if (tried.size < MAX_GATES) {
                send()
            } else if (isMeasured()) {
                result.lost++
            }
        }

        private fun isMeasured(): Boolean = arrival.at - origin >= WARM_UP

        private fun oneWayTo(target: Int): Duration =
            when (locationOf(arrival.entry % DOMAINS).distanceTo(targets[target].entry.failureDomain)) {
                Distance.SAME_DOMAIN -> 0.5.milliseconds
                Distance.SAME_REGION -> 1.5.milliseconds
                Distance.OTHER_REGION -> 12.milliseconds
            }
    }

    private fun elapsed(): Duration = clock.now() - origin

    private fun repeatEvery(interval: Duration, offset: Duration, action: () -> Unit) {
        var at = origin + offset
        while (at < origin + load.length) {
            schedule(at, action)
            at += interval
        }
    }

    private fun schedule(at: Duration, action: () -> Unit) {
        events += Event(at, ++eventCount, action)
    }

    private fun locationOf(domain: Int) = DaemonLocation(domainId(domain), regionOf(domainId(domain)), ::regionOf)

    private fun regionOf(domain: FailureDomainId) = RegionId("r${domain.value.drop(1).toInt() / 2}")

    private fun domainId(domain: Int) = FailureDomainId("d$domain")

    private fun targetOf(index: Int) = KnownTarget(
        TargetEntry(
            TargetId("t$index"),
            ServiceId("rounds"),
            "192.0.2.$index",
            80,
            domainId(index % DOMAINS),
            "v1",
            SLOTS,
            leaving = false,
            coldFor = Duration.ZERO,
            startedAtUnixMs = 0,
            reports = 1,
        ),
        revision = 1,
    )

    companion object {
        const val ENTRIES = 60
        const val TARGETS = 24
        const val DOMAINS = 6
        const val SLOTS = 10
        val WARM_UP = 20.seconds
        private const val RESPONSE_BYTES = 3_000
        private const val MAX_GATES = 3
        private const val SHORT_SHARE = 0.7
        private val SHORT = RouteId("short") to 60.milliseconds
        private val LONG = RouteId("long") to 200.milliseconds
        private val MEAN_WORK = SHORT.second * SHORT_SHARE + LONG.second * (1 - SHORT_SHARE)
        private const val SIGMA = 0.4
        private val OBJECTIVE = 800.milliseconds
        private val DEADLINE = 3.seconds
        private val REPORT_INTERVAL = 2.seconds
        private val REPORT_DELAY = 1.seconds
        private val SAMPLE_INTERVAL = 100.milliseconds
        val SLOW_PERIOD = 600.milliseconds
        private val MEAN_TIME_BETWEEN_SLOW_PERIODS = 20.seconds
        private const val SLOW_FACTOR = 3.0
        private const val SLOWED_FACTOR = 5.0
    }
}
