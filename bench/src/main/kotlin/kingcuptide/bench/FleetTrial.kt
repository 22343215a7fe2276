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

/** Method by which the daemons of a trial receive documents. */
enum class Distribution(
    val factory: DaemonFactory,
) {
    /** Distribution by readers, a relay tree, anti-entropy and witnesses. */
    SPREAD(VersionDaemon.factory(VersionSettings(PLATFORM_REGION))),

    /** Baseline: every daemon watches the platform and reads documents in full. */
    PLAIN({ fleet, _, _ -> PlainWatcher(fleet) }),
}

/** Times in milliseconds from the publication of a version until it is in force, over all changes and hosts. */
data class ConvergenceTimes(
    val p50Ms: Long,
    val p99Ms: Long,
    val maxMs: Long,
    val crossRegionBytesPerChange: Long,
    val hostsBehind: Int,
)

/** Bytes that daemons received per second from peers and the platform, with platform calls and processor time. */
data class ReceivedRate(
    val meanBytesPerSecond: Double,
    val maxBytesPerSecond: Double,
    val crossRegionBytesPerSecond: Double,
    val maxSourceCallsPerSecond: Int,
    val cpuPercentOfCorePerHost: Double,
)

/** A fleet that has been started and has settled, ready for measurements. */
class FleetTrial(
    shape: FleetShape,
    distribution: Distribution,
    seed: Int,
    documentBytes: Int,
) {
    private val documents = DocumentSeries(Random(seed), documentBytes)
    private var number = 1L

    /** Fleet under measurement. */
    val fleet: InMemoryFleet = InMemoryFleet(shape, seed, distribution.factory)

    init {
        fleet.platform.publish(hostListContent(1, shape.hosts()))
        fleet.platform.publish(documents.next())
        fleet.start()
        fleet.run(SETTLING_TIME)
    }

    /** Publishes a version with [changedRoutes] changed routes. */
    fun publish(changedRoutes: Int = 2) {
        number++
        fleet.platform.publish(documents.next(changedRoutes))
    }

    /** Returns the number of hosts on which the newest version is not in force. */
    fun hostsBehind(): Int = fleet.hosts.count { it.daemon?.number != number }

    /** Publishes [changes] versions at intervals of [gap], and waits until the last is in force on all hosts. */
    fun measureChanges(changes: Int, gap: Duration, changedRoutes: Int = 2): ConvergenceTimes {
        val publishedAt = mutableMapOf<Long, Duration>()
        val crossRegion = fleet.bytes.crossRegion
        repeat(changes) {
            publish(changedRoutes)
            publishedAt[number] = fleet.clock.now()
            fleet.run(gap)
        }
        fleet.runUntil(CONVERGENCE_LIMIT) { hostsBehind() == 0 }
        val crossed = (fleet.bytes.crossRegion - crossRegion) / changes
        val times = publishedAt.flatMap { (version, time) -> convergenceMsOf(version, time) }.sorted()
        return ConvergenceTimes(times.atQuantile(0.5), times.atQuantile(0.99), times.last(), crossed, hostsBehind())
    }

    /** Runs [during] and returns the mean rates over [per], its virtual duration. */
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

    /** Returns the time since the last confirmation of the document on each host, in ascending order. */
    fun confirmedAges(): List<Duration> =
        fleet.hosts.mapNotNull {
            (it.daemon as? VersionDaemon)?.coordinator?.confirmedAge(ResourceKind.DOCUMENT)
        }.sorted()

    private fun maxCallsSince(start: Duration): Int =
        fleet.platform.callsBySecond.filterKeys { it >= start.inWholeSeconds }.values.maxOrNull() ?: 0

    /** Returns the convergence times of [version]; a host that skipped it counts with its next later version. */
    private fun convergenceMsOf(version: Long, publishedAt: Duration): List<Long> =
        fleet.hosts.map { host ->
            val inForce = host.inForceAt.filterKeys { it >= version }.values.minOrNull()
            (inForce ?: fleet.clock.now()).minus(publishedAt).inWholeMilliseconds
        }

    private fun List<Long>.atQuantile(quantile: Double): Long = this[(quantile * lastIndex).toInt()]

    companion object {
        /** Reference fleet: 2 regions, 7 failure domains, about 1,100 hosts. */
        val REFERENCE_SHAPE: FleetShape = FleetShape(listOf(4, 3), 157)
        private val SETTLING_TIME = 20.seconds
        private val threads = ManagementFactory.getThreadMXBean()
        private const val NANOS_PER_SECOND = 1e9
        private const val PERCENT = 100.0
        private val CONVERGENCE_LIMIT = 20.seconds
    }
}
