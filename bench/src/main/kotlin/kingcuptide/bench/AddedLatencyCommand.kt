package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kingcuptide.bench.processes.LoadResult
import kingcuptide.bench.processes.OpenLoopLoad
import kingcuptide.bench.processes.usageOf
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.ConfigDocument
import kingcuptide.coordination.version.RouteSpec
import kingcuptide.coordination.version.ServiceSpec
import kingcuptide.standins.fleet.DomainShape
import kingcuptide.standins.fleet.FleetShape
import kingcuptide.standins.fleet.LocalFleet
import kingcuptide.standins.fleet.LocalFleetOptions
import kingcuptide.standins.fleet.fleetShape
import java.nio.file.Files
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Measures the latency that two hops through daemons add, compared with the same load sent to the target directly.
 *
 * The caller's daemon has no target for the route, so that every call is forwarded to the daemon beside the target.
 */
class AddedLatencyCommand : CliktCommand(name = "added-latency") {
    private val seed by option("--seed").long().default(1)
    private val perSecond by option("--per-second").int().default(173)
    private val rounds by option("--rounds").int().default(3)
    private val perRound by option("--per-round").int().default(2_000)

    override fun run() {
        echo("seed=$seed calls_per_second=$perSecond rounds=$rounds calls_per_round=$perRound")
        val directory = Files.createTempDirectory("added-latency")
        LocalFleet(
            twoHosts(),
            directory,
            LocalFleetOptions(targetArguments = listOf("--service-ms", "5")),
        ).use { fleet ->
            fleet.startAll()
            measure(fleet)
        }
    }

    private fun measure(fleet: LocalFleet) {
        val (entry, gate) = fleet.shape.hosts
        val load = OpenLoopLoad(perSecond, Random(seed))
        repeat(WARM_UP_ROUNDS) { load.run(fleet.entryUrl(entry, PATH), perRound) }
        repeat(rounds) { round ->
            val direct = load.run(fleet.targetUrl(gate, PATH), perRound)
            val before = cpuOf(fleet, entry, gate)
            val forwarded = load.run(fleet.entryUrl(entry, PATH), perRound)
            report(round, direct, forwarded, cpuOf(fleet, entry, gate) - before)
        }
    }

    private fun report(round: Int, direct: LoadResult, forwarded: LoadResult, cpu: Duration) {
        val fields = StringBuilder("round=$round direct_failed=${direct.failed} through_failed=${forwarded.failed}")
        for (percentile in PERCENTILES) {
            val directMs = direct.latencyUs.getValueAtPercentile(percentile) / US_PER_MS
            val forwardedMs = forwarded.latencyUs.getValueAtPercentile(percentile) / US_PER_MS
            fields.append(" direct_p${percentile.toInt()}_ms=$directMs through_p${percentile.toInt()}_ms=$forwardedMs")
            fields.append(" added_p${percentile.toInt()}_ms=%.3f".format(forwardedMs - directMs))
        }
        fields.append(
            " target_added_p99_ms=2 cpu_per_call_ms=%.3f".format(
                cpu.toDouble(DurationUnit.MILLISECONDS) / perRound,
            ),
        )
        echo(fields.toString())
    }

    private fun cpuOf(fleet: LocalFleet, vararg hosts: HostEntry): Duration =
        hosts.fold(Duration.ZERO) { sum, host -> sum + usageOf(fleet.daemon(host.host).pid).cpuTime }

    private fun twoHosts(): FleetShape =
        fleetShape(
            NETWORK,
            listOf(
                DomainShape(FailureDomainId("first"), REGION, listOf(ServiceId("other"))),
                DomainShape(FailureDomainId("second"), REGION, listOf(SERVICE)),
            ),
            ConfigDocument(
                version = 1,
                services = listOf(SERVICE, ServiceId("other")).associateWith {
                    ServiceSpec(slots = 100, maxConnections = 100, coldSlots = 100)
                },
                routes = mapOf(RouteId("measured") to RouteSpec(SERVICE, "/measured")),
            ),
        )

    private companion object {
        const val PATH = "/measured/1"
        const val NETWORK = 27
        const val WARM_UP_ROUNDS = 5
        const val US_PER_MS = 1_000.0
        val PERCENTILES = listOf(50.0, 99.0)
        val SERVICE = ServiceId("measured")
        val REGION = RegionId("one")
    }
}
