package kingcuptide.bench

import kingcuptide.bench.fleet.DaemonFactory
import kingcuptide.bench.fleet.DocumentSeries
import kingcuptide.bench.fleet.FleetShape
import kingcuptide.bench.fleet.InMemoryFleet
import kingcuptide.bench.fleet.PLATFORM_REGION
import kingcuptide.bench.fleet.PlainWatcher
import kingcuptide.bench.fleet.VersionDaemon
import kingcuptide.bench.fleet.hostListContent
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.VersionSettings
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** How a trial's daemons get their documents. */
enum class Distribution(
    val factory: DaemonFactory,
) {
    /** Readers, tree, anti-entropy and witnesses. */
    SPREAD(VersionDaemon.factory(VersionSettings(PLATFORM_REGION))),

    /** Every daemon watches the platform and takes whole documents. */
    PLAIN({ fleet, _, _ -> PlainWatcher(fleet) }),
}

/** Convergence times of some changes, in milliseconds, over all hosts. */
data class ConvergenceTimes(
    val p50Ms: Long,
    val p99Ms: Long,
    val maxMs: Long,
    val crossRegionBytesPerChange: Long,
    val hostsBehind: Int,
)

/** Bytes that a daemon received in a second, from peers and from the platform. */
data class ReceivedRate(
    val meanBytesPerSecond: Double,
    val maxBytesPerSecond: Double,
    val crossRegionBytesPerSecond: Double,
    val maxSourceCallsPerSecond: Int,
    val cpuPercentOfCorePerHost: Double,
)

/** One fleet that has started and settled, for measuring. */
class FleetTrial(
    shape: FleetShape,
    distribution: Distribution,
    seed: Int,
    documentBytes: Int,
) {
    private val documents = DocumentSeries(Random(seed), documentBytes)
    private var number = 1L

    /** The fleet itself. */
    val fleet: InMemoryFleet = InMemoryFleet(shape, seed, distribution.factory)

    init {
        fleet.platform.publish(hostListContent(1, shape.hosts()))
        fleet.platform.publish(documents.next())
        fleet.start()
        fleet.run(SETTLE)
    }

    /** Publishes a change of [changedRoutes] routes. */
    fun publish(changedRoutes: Int = 2) {
        number++
        fleet.platform.publish(documents.next(changedRoutes))
    }

    /** Returns how many hosts do not have the newest version in force. */
    fun hostsBehind(): Int = fleet.hosts.count { it.daemon?.number != number }

    /** Publishes [changes] changes with [gap] between them, and measures until the last is in force everywhere. */
    fun measureChanges(changes: Int, gap: Duration, changedRoutes: Int = 2): ConvergenceTimes {
        val publishedAt = mutableMapOf<Long, Duration>()
        val crossRegion = fleet.bytes.crossRegion
        repeat(changes) {
            publish(changedRoutes)
            publishedAt[number] = fleet.clock.now()
            fleet.run(gap)
        }
        fleet.runUntil(LIMIT) { hostsBehind() == 0 }
        val crossed = (fleet.bytes.crossRegion - crossRegion) / changes
        val times = publishedAt.flatMap { (version, at) -> timesOf(version, at) }.sorted()
        return ConvergenceTimes(times.at(0.5), times.at(0.99), times.last(), crossed, hostsBehind())
    }

    /** Runs [during] and measures what the daemons received; the rates are over [per]. */
    fun measureReceived(per: Duration, during: () -> Unit): ReceivedRate {
        val before = fleet.hosts.map { it.receivedBytes + it.sourceBytes }
        val crossRegion = fleet.bytes.crossRegion
        val start = fleet.clock.now()
        val cpuStart = threads.currentThreadCpuTime
        during()
        val cpuSeconds = (threads.currentThreadCpuTime - cpuStart) / NANOS_PER_SECOND
        val seconds = per.toDouble(DurationUnit.SECONDS)
        val received = fleet.hosts.mapIndexed { index, host -> host.receivedBytes + host.sourceBytes - before[index] }
        return ReceivedRate(
            meanBytesPerSecond = received.average() / seconds,
            maxBytesPerSecond = received.max() / seconds,
            crossRegionBytesPerSecond = (fleet.bytes.crossRegion - crossRegion) / seconds,
            maxSourceCallsPerSecond = maxCallsSince(start),
            cpuPercentOfCorePerHost = PERCENT * cpuSeconds / seconds / fleet.hosts.size,
        )
    }

    /** Returns the ages of the last confirmation of the document over all hosts, sorted. */
    fun confirmedAges(): List<Duration> =
        fleet.hosts.mapNotNull {
            (it.daemon as? VersionDaemon)?.coordinator?.confirmedAge(ResourceKind.DOCUMENT)
        }.sorted()

    private fun maxCallsSince(start: Duration): Int =
        fleet.platform.callsBySecond.filterKeys { it >= start.inWholeSeconds }.values.maxOrNull() ?: 0

    /** A host that skipped [version] counts from when it had a later one. */
    private fun timesOf(version: Long, at: Duration): List<Long> =
        fleet.hosts.map { host ->
            val inForce = host.inForceAt.filterKeys { it >= version }.values.minOrNull()
            (inForce ?: fleet.clock.now()).minus(at).inWholeMilliseconds
        }

    private fun List<Long>.at(quantile: Double): Long = this[(quantile * lastIndex).toInt()]

    companion object {
        /** The letter's fleet: 2 regions, 7 failure domains, about 1,100 hosts. */
        val LETTER_SHAPE: FleetShape = FleetShape(listOf(4, 3), 157)
        private val SETTLE = 20.seconds
        private val threads = ManagementFactory.getThreadMXBean()
        private const val NANOS_PER_SECOND = 1e9
        private const val PERCENT = 100.0
        private val LIMIT = 20.seconds
    }
}
