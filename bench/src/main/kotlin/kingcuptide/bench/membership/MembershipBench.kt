package kingcuptide.bench.membership

import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.process.MembershipSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures membership for a fleet of [hosts] hosts and prints key=value lines. */
class MembershipBench(
    private val hosts: Int,
    private val seed: Long,
    private val print: (String) -> Unit,
) {
    private val random = Random(seed)

    /** Runs the measurement of [case]. */
    fun run(case: MembershipBenchCase) {
        when (case) {
            MembershipBenchCase.REST -> atRest()
            MembershipBenchCase.KILLED -> {
                killed(MembershipSettings(), "ring")
                killed(MembershipSettings(ringSuccessors = 0, probeInterval = RANDOM_PROBE_INTERVAL), "random")
            }
            MembershipBenchCase.LEAVING -> leaving()
            MembershipBenchCase.RESTARTS -> restarts()
            MembershipBenchCase.DOMAIN -> domainReturns()
            MembershipBenchCase.REGION -> regionCut()
            MembershipBenchCase.ALL_RESTART -> allRestart()
            MembershipBenchCase.STATUS -> StatusBench(hosts, seed, print).run()
        }
    }

    private fun fleet(settings: MembershipSettings = MembershipSettings()): MembershipFleet {
        val fleet = MembershipFleet(FleetShape(hosts), seed, settings, countBytes = true)
        fleet.run(SETTLING_TIME)
        return fleet
    }

    private fun atRest() {
        val fleet = fleet()
        val cpuBefore = fleet.decisionTime
        val rates = measure(fleet, 60.seconds) { fleet.run(it) }
        val cpu = (fleet.decisionTime - cpuBefore) / 60.0 / hosts
        print("at_rest $rates decisions_us_per_daemon_per_s=${cpu.inWholeMicroseconds}")
        print("at_rest greatest_message_bytes=${fleet.greatestMessageBytes} target_bytes=1200")
    }

    private fun killed(settings: MembershipSettings, probing: String) {
        val fleet = fleet(settings)
        val suspect = mutableListOf<Duration>()
        val dead = mutableListOf<Duration>()
        repeat(DETECTION_SAMPLES) {
            fleet.run(1.seconds * random.nextDouble())
            val victim = fleet.nodes.filter { it.live }.random(random)
            fleet.kill(victim)
            suspect += fleet.awaitAll(victim) { it == Liveness.SUSPECT || it == Liveness.DEAD }
            dead += suspect.last() + fleet.awaitAll(victim) { it == Liveness.DEAD }
        }
        print("killed probing=$probing known_everywhere=suspect ${quantiles(suspect)} target_ms=3000")
        print("killed probing=$probing known_everywhere=dead ${quantiles(dead)} target_ms=10000")
    }

    private fun leaving() {
        val fleet = fleet()
        val times = (0 until DETECTION_SAMPLES).map {
            fleet.run(1.seconds * random.nextDouble())
            val node = fleet.nodes.filter { it.live }.random(random)
            fleet.leave(node)
            val time = fleet.awaitAll(node) { it == Liveness.LEAVING }
            fleet.kill(node)
            time
        }
        print("leaving known_everywhere=leaving ${quantiles(times)} target_ms=3000")
    }

    private fun restarts() {
        val fleet = fleet()
        val rates = measure(fleet, 10.minutes) { duration ->
            repeat(RESTARTS_IN_TEN_MINUTES) {
                val node = fleet.nodes.random(random)
                fleet.leave(node)
                fleet.run(2.seconds)
                fleet.kill(node)
                fleet.run(3.seconds)
                fleet.restart(node, wallClock(fleet))
                fleet.run(duration / RESTARTS_IN_TEN_MINUTES - 5.seconds)
            }
        }
        print("restarts_300_a_day $rates")
    }

    private fun domainReturns() {
        val fleet = fleet()
        val domain = fleet.node(1).entry.failureDomain
        val domainNodes = fleet.nodes.filter { it.entry.failureDomain == domain }
        val lost = measure(fleet, 15.seconds) { duration ->
            domainNodes.forEach(fleet::kill)
            fleet.run(duration)
        }
        print("domain_lost domain_hosts=${domainNodes.size} $lost")
        print("domain_lost views_not_dead=${fleet.countViews(domainNodes) { it != Liveness.DEAD }}")
        var time: Duration? = null
        val rates = measure(fleet, 10.seconds) { duration ->
            val start = fleet.clock.now()
            domainNodes.forEach { fleet.restart(it, wallClock(fleet)) }
            time = fleet.await(duration) { fleet.countViews(domainNodes) { it != Liveness.ALIVE } == 0 }
            fleet.run(duration - (fleet.clock.now() - start))
        }
        print("domain_returns $rates known_everywhere_ms=${time?.inWholeMilliseconds}")
    }

    private fun regionCut() {
        val fleet = fleet()
        fleet.network.cut = { from, to -> from.region != to.region }
        val cutRates = measure(fleet, 2.minutes) { fleet.run(it) }
        val deadShare = fleet.shareOfCrossRegionViews { it == Liveness.DEAD }
        print("region_cut $cutRates views_across_dead_share=$deadShare")
        fleet.network.heal()
        var time: Duration? = null
        val rates = measure(fleet, 60.seconds) { duration ->
            val start = fleet.clock.now()
            time = fleet.await(duration) { fleet.countViews(fleet.nodes) { it != Liveness.ALIVE } == 0 }
            fleet.run(duration - (fleet.clock.now() - start))
        }
        print("region_healed $rates all_alive_everywhere_ms=${time?.inWholeMilliseconds}")
    }

    private fun allRestart() {
        val fleet = fleet()
        fleet.nodes.forEach(fleet::kill)
        fleet.run(5.seconds)
        val rates = measure(fleet, 30.seconds) { duration ->
            fleet.nodes.forEach { fleet.restart(it, wallClock(fleet)) }
            val time = fleet.await(duration) { fleet.countViews(fleet.nodes) { it != Liveness.ALIVE } == 0 }
            print("all_restart all_alive_everywhere_ms=${time?.inWholeMilliseconds}")
            fleet.run(duration - (time ?: duration))
        }
        print("all_restart $rates")
    }

    private fun wallClock(fleet: MembershipFleet): Long =
        MembershipFleet.FIRST_INCARNATION + fleet.clock.now().inWholeMilliseconds

    private fun measure(fleet: MembershipFleet, duration: Duration, action: (Duration) -> Unit): Rates {
        val before = fleet.nodes.map { it.receivedBytes }
        val messagesBefore = fleet.nodes.sumOf { it.receivedMessages }
        val crossBefore = fleet.nodes.sumOf { it.crossRegionBytes }
        val start = fleet.clock.now()
        action(duration)
        val seconds = (fleet.clock.now() - start).toDouble(DurationUnit.SECONDS)
        val received = fleet.nodes.mapIndexed { index, node -> (node.receivedBytes - before[index]) / seconds }
        return Rates(
            meanBytesPerSecond = received.average(),
            maxBytesPerSecond = received.max(),
            messagesPerSecond = (fleet.nodes.sumOf { it.receivedMessages } - messagesBefore) / seconds / hosts,
            crossRegionBytesPerSecond = (fleet.nodes.sumOf { it.crossRegionBytes } - crossBefore) / seconds,
        )
    }

    private fun MembershipFleet.awaitAll(node: FleetNode, predicate: (Liveness) -> Boolean): Duration =
        await(AWAIT_LIMIT) { countViews(listOf(node)) { !predicate(it) } == 0 } ?: AWAIT_LIMIT

    private fun MembershipFleet.shareOfCrossRegionViews(predicate: (Liveness) -> Boolean): Double {
        val observer = node(0)
        val remoteNodes = nodes.filter { it.entry.region != observer.entry.region }
        return remoteNodes.count { predicate(observer.membership.liveness(it.host)) }.toDouble() / remoteNodes.size
    }

    private fun quantiles(times: List<Duration>): String {
        val sorted = times.sorted().map { it.inWholeMilliseconds }
        val p50 = sorted[sorted.size / 2]
        val p99 = sorted[(sorted.size * 99 / 100).coerceAtMost(sorted.size - 1)]
        return "samples=${sorted.size} p50_ms=$p50 p99_ms=$p99 max_ms=${sorted.last()}"
    }

    private companion object {
        val SETTLING_TIME = 30.seconds
        val AWAIT_LIMIT = 60.seconds
        val RANDOM_PROBE_INTERVAL = 1.seconds / 3
        const val DETECTION_SAMPLES = 40
        const val RESTARTS_IN_TEN_MINUTES = 2
    }
}

/** One measurement of [MembershipBench]. */
enum class MembershipBenchCase {
    REST,
    KILLED,
    LEAVING,
    RESTARTS,
    DOMAIN,
    REGION,
    ALL_RESTART,
    STATUS,
}

/** Rates of control traffic that daemons received, including datagram headers. */
data class Rates(
    val meanBytesPerSecond: Double,
    val maxBytesPerSecond: Double,
    val messagesPerSecond: Double,
    val crossRegionBytesPerSecond: Double,
) {
    override fun toString(): String =
        "received_bytes_per_s_mean=%.0f received_bytes_per_s_max=%.0f target_bytes_per_s=3000 ".format(
            meanBytesPerSecond,
            maxBytesPerSecond,
        ) + "messages_per_s=%.1f fleet_cross_region_bytes_per_s=%.0f".format(
            messagesPerSecond,
            crossRegionBytesPerSecond,
        )
}
