package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import kingcuptide.bench.fleet.FleetShape
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Measures the time until a new version is in force on all daemons, by document, fleet and change size. */
class ConvergenceCommand : CliktCommand("convergence") {
    private val seed by option().int().default(1)
    private val changes by option().int().default(5)

    override fun run() {
        println("target_convergence_max_ms=4000")
        for (distribution in Distribution.entries) {
            for (documentBytes in DOCUMENT_BYTES) {
                measure("single", FleetTrial.REFERENCE_SHAPE, distribution, documentBytes, 3.seconds)
            }
        }
        measure("burst", FleetTrial.REFERENCE_SHAPE, Distribution.SPREAD, LARGE_BYTES, 100.milliseconds)
        for (hosts in HOSTS_PER_DOMAIN) {
            measure(
                "fleet",
                FleetShape(listOf(4, 3), hosts),
                Distribution.SPREAD,
                SMALL_BYTES,
                3.seconds,
            )
        }
        for (routes in CHANGED_ROUTES) {
            measure("change", FleetShape(listOf(4, 3), 40), Distribution.SPREAD, LARGE_BYTES, 3.seconds, routes)
        }
    }

    private fun measure(
        row: String,
        shape: FleetShape,
        distribution: Distribution,
        documentBytes: Int,
        gap: Duration,
        changedRoutes: Int = 2,
    ) {
        val trial = FleetTrial(shape, distribution, seed, documentBytes)
        val times = trial.measureChanges(changes, gap, changedRoutes)
        println(
            "row=$row distribution=${distribution.name.lowercase()} hosts=${trial.fleet.hosts.size} " +
                "document_bytes=$documentBytes changed_routes=$changedRoutes gap_ms=${gap.inWholeMilliseconds} " +
                "p50_ms=${times.p50Ms} p99_ms=${times.p99Ms} max_ms=${times.maxMs} hosts_behind=${times.hostsBehind} " +
                "cross_region_bytes_per_change=${times.crossRegionBytesPerChange} seed=$seed",
        )
    }

    private companion object {
        const val SMALL_BYTES = 50_000
        const val LARGE_BYTES = 950_000
        val DOCUMENT_BYTES = listOf(SMALL_BYTES, LARGE_BYTES)
        val HOSTS_PER_DOMAIN = listOf(5, 20, 80)
        val CHANGED_ROUTES = listOf(1, 10, 100, 1_000)
    }
}
