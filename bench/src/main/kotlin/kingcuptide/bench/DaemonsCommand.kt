package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kingcuptide.bench.processes.ProcessUsage
import kingcuptide.bench.processes.usageOf
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.version.ConfigDocument
import kingcuptide.coordination.version.RouteSpec
import kingcuptide.coordination.version.ServiceSpec
import kingcuptide.coordination.version.WorkspaceSpec
import kingcuptide.standins.fleet.DomainShape
import kingcuptide.standins.fleet.FleetShape
import kingcuptide.standins.fleet.LocalFleet
import kingcuptide.standins.fleet.fleetShape
import java.nio.file.Files
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Measures processor time, memory, control traffic and convergence time of daemon processes. */
class DaemonsCommand : CliktCommand(name = "daemons") {
    private val seed by option("--seed").long().default(1)
    private val perDomain by option("--hosts-per-domain").int().default(4)
    private val domains by option("--domains").int().default(7)
    private val workspaces by option("--workspaces").int().default(1_000)
    private val windowSeconds by option("--window-seconds").int().default(30)
    private val changes by option("--changes").int().default(10)

    private val random by lazy { Random(seed) }

    override fun run() {
        echo(
            "seed=$seed hosts=${perDomain * domains} failure_domains=$domains workspaces=$workspaces window_s=$windowSeconds",
        )
        LocalFleet(shape(), Files.createTempDirectory("daemons")).use { fleet ->
            fleet.startPlatform()
            fleet.await("platform") { fleet.sourceCalls() >= 0 }
            fleet.shape.hosts.forEach { fleet.startDaemon(it) }
            fleet.shape.hosts.forEach { fleet.awaitReady(it) }
            pause(SETTLING_TIME)
            measureWindow(fleet, "rest", changes = 0)
            measureWindow(fleet, "changes", changes)
        }
    }

    private fun measureWindow(fleet: LocalFleet, name: String, changes: Int) {
        val usedBefore = usages(fleet)
        val bytesBefore = receivedBytes(fleet)
        val callsBefore = fleet.sourceCalls()
        val started = TimeSource.Monotonic.markNow()
        val convergence = (1..changes).map { publishChange(fleet) }
        val remaining = windowSeconds.seconds - started.elapsedNow()
        if (remaining > Duration.ZERO) pause(remaining)
        val duration = started.elapsedNow()
        val usedAfter = usages(fleet)
        val cpu = usedAfter.zip(usedBefore) { after, before -> (after.cpuTime - before.cpuTime) / duration * PERCENT }
        val received = receivedBytes(fleet).zip(bytesBefore) { after, before ->
            (after - before) /
                duration.toDouble(DurationUnit.SECONDS)
        }
        echo(
            "window=$name took_s=%.1f cpu_percent_mean=%.2f cpu_percent_max=%.2f target_cpu_percent=1.8 ".format(
                duration.toDouble(DurationUnit.SECONDS),
                cpu.average(),
                cpu.max(),
            ) +
                "resident_mb_mean=%.1f resident_mb_max=%.1f anonymous_mb_max=%.1f target_mb=64 ".format(
                    usedAfter.map { it.residentBytes }.average() / BYTES_PER_MEGABYTE,
                    usedAfter.maxOf { it.residentBytes } / BYTES_PER_MEGABYTE,
                    usedAfter.maxOf { it.anonymousBytes } / BYTES_PER_MEGABYTE,
                ) +
                "received_bytes_per_s_mean=%.0f received_bytes_per_s_max=%.0f target_bytes_per_s=13000 ".format(
                    received.average(),
                    received.max(),
                ) +
                "source_calls_per_s=%.2f target_source_calls_per_s=2000".format(
                    (fleet.sourceCalls() - callsBefore) / duration.toDouble(DurationUnit.SECONDS),
                ),
        )
        if (convergence.isNotEmpty()) {
            val sorted = convergence.map { it.inWholeMilliseconds }.sorted()
            echo(
                "window=$name changes=$changes convergence_ms_median=${sorted[sorted.size / 2]} convergence_ms_max=${sorted.last()} target_ms=4000",
            )
        }
    }

    private fun publishChange(fleet: LocalFleet): Duration {
        val next = document.copy(version = document.version + 1, workspaces = document.workspaces + changedWorkspace())
        document = next
        val started = TimeSource.Monotonic.markNow()
        fleet.publish(next)
        fleet.await("version ${next.version}") { inForceOn(fleet, next.version) == fleet.shape.hosts.size }
        return started.elapsedNow()
    }

    private fun inForceOn(fleet: LocalFleet, version: Long): Int {
        val body = fleet.get(fleet.adminUrl(fleet.shape.hosts.first(), "/v1/status")).body()
        if (!body.contains("\"versionInForce\":$version,")) return 0
        return checkNotNull(Regex("\"hostsInForce\":(\\d+)").find(body)).groupValues[1].toInt()
    }

    private fun changedWorkspace() = mapOf(
        WorkspaceId("workspace-${random.nextInt(workspaces)}") to WorkspaceSpec(setOf(REGIONS.random(random))),
    )

    private fun usages(fleet: LocalFleet): List<ProcessUsage> = fleet.shape.hosts.map {
        usageOf(fleet.daemon(it.host).pid)
    }

    private fun receivedBytes(fleet: LocalFleet): List<Double> = fleet.shape.hosts.map { receivedBytes(fleet, it) }

    private fun receivedBytes(fleet: LocalFleet, host: HostEntry): Double =
        fleet
            .get(fleet.adminUrl(host, "/metrics"))
            .body()
            .lineSequence()
            .filter { it.startsWith("kingcuptide_control_bytes_total") && it.contains("direction=\"received\"") }
            .sumOf { it.substringAfterLast(' ').toDouble() }

    private var document =
        ConfigDocument(
            version = 1,
            services = SERVICES.associateWith { ServiceSpec(slots = 10, maxConnections = 100) },
            routes = SERVICES.associate { RouteId(it.value) to RouteSpec(it, "/$it") },
        )

    private fun shape(): FleetShape {
        document =
            document.copy(
                workspaces = (0 until workspaces).associate {
                    WorkspaceId("workspace-$it") to
                        WorkspaceSpec(setOf(REGIONS[it % 2]))
                },
            )
        val shapes =
            (0 until domains).map { index ->
                DomainShape(
                    FailureDomainId("domain-$index"),
                    REGIONS[index % 2],
                    List(perDomain) {
                        SERVICES[
                            it %
                                SERVICES.size,
                        ]
                    },
                )
            }
        return fleetShape(NETWORK, shapes, document).also { document = it.document }
    }

    private fun pause(duration: Duration) = LockSupport.parkNanos(duration.inWholeNanoseconds)

    private companion object {
        const val NETWORK = 28
        const val PERCENT = 100.0
        const val BYTES_PER_MEGABYTE = 1_048_576.0
        val SETTLING_TIME = 20.seconds
        val REGIONS = listOf(RegionId("north"), RegionId("south"))
        val SERVICES = (1..4).map { ServiceId("service-$it") }
    }
}
