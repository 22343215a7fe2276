package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import kingcuptide.bench.fleet.FleetShape
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Measures the bytes received by each daemon, the calls to the platform, and processor time.
 *
 * The processor time covers the distribution logic of all hosts and the fake transport, which encodes each message to
 * count its bytes. The hosts share cached contents, so the cost of a change for one daemon is measured separately.
 */
class ControlCommand : CliktCommand("control") {
    private val seed by option().int().default(1)

    override fun run() {
        println("target_received_bytes_per_second=13000 target_source_calls_per_second=2000")
        for (documentBytes in listOf(50_000, 950_000)) {
            for (distribution in Distribution.entries) measureReferenceFleet(distribution, documentBytes)
        }
        for (hosts in listOf(5, 20, 80)) {
            val trial = FleetTrial(FleetShape(listOf(4, 3), hosts), Distribution.SPREAD, seed, 50_000)
            measureIdle("fleet", trial, Distribution.SPREAD, 50_000)
        }
        for (documentBytes in listOf(50_000, 950_000)) println(measureChangeCost(seed, documentBytes))
    }

    private fun measureReferenceFleet(distribution: Distribution, documentBytes: Int) {
        val trial = FleetTrial(FleetTrial.REFERENCE_SHAPE, distribution, seed, documentBytes)
        measureIdle("rest", trial, distribution, documentBytes)
        val daily = trial.measureReceived(CHANGE_INTERVAL) {
            trial.publish()
            trial.fleet.run(CHANGE_INTERVAL)
        }
        print("daily_changes_1600", trial, distribution, documentBytes, daily)
        val burst = trial.measureReceived(BURST_TIME) {
            repeat(BURST_TIME.inWholeSeconds.toInt()) {
                trial.publish()
                trial.fleet.run(1.seconds)
            }
        }
        print("burst_1_change_per_s", trial, distribution, documentBytes, burst)
        measureMassRestart(trial, distribution, documentBytes)
    }

    private fun measureIdle(row: String, trial: FleetTrial, distribution: Distribution, documentBytes: Int) {
        val rate = trial.measureReceived(IDLE_TIME) { trial.fleet.run(IDLE_TIME) }
        print(row, trial, distribution, documentBytes, rate)
        val ages = trial.confirmedAges().map { it.inWholeMilliseconds }
        if (ages.isEmpty()) return
        println(
            "row=freshness hosts=${ages.size} confirmed_age_p50_ms=${ages[ages.size / 2]} confirmed_age_max_ms=${ages.last()}",
        )
    }

    private fun measureMassRestart(trial: FleetTrial, distribution: Distribution, documentBytes: Int) {
        val survivors = trial.fleet.hosts.filterIndexed { index, _ -> index % HOSTS_PER_SURVIVOR == 0 }
        val restarted = trial.fleet.hosts - survivors.toSet()
        restarted.forEach { trial.fleet.kill(it) }
        var readyAfter: Duration? = null
        val rate = trial.measureReceived(MASS_RESTART_TIME) {
            trial.fleet.start(restarted)
            readyAfter =
                trial.fleet.runUntil(MASS_RESTART_TIME) { trial.fleet.hosts.all { it.daemon?.canAcceptWork == true } }
            trial.fleet.run(MASS_RESTART_TIME - (readyAfter ?: MASS_RESTART_TIME))
        }
        print("herd_restart", trial, distribution, documentBytes, rate)
        println(
            "row=herd_restart ready_ms=${readyAfter?.inWholeMilliseconds} survivors=${survivors.size} hosts_behind=${trial.hostsBehind()}",
        )
    }

    private fun print(
        row: String,
        trial: FleetTrial,
        distribution: Distribution,
        documentBytes: Int,
        rate: ReceivedRate,
    ) {
        println(
            "row=$row distribution=${distribution.name.lowercase()} hosts=${trial.fleet.hosts.size} " +
                "document_bytes=$documentBytes received_mean_bytes_per_s=${rate.meanBytesPerSecond.toLong()} " +
                "received_max_bytes_per_s=${rate.maxBytesPerSecond.toLong()} " +
                "cross_region_bytes_per_s=${rate.crossRegionBytesPerSecond.toLong()} " +
                "source_calls_max_per_s=${rate.maxSourceCallsPerSecond} " +
                "cpu_percent_of_core_per_host=${"%.3f".format(rate.cpuPercentOfCorePerHost)} seed=$seed",
        )
    }

    private companion object {
        val IDLE_TIME = 20.seconds
        val CHANGE_INTERVAL = 54.seconds
        val BURST_TIME = 10.seconds
        val MASS_RESTART_TIME = 15.seconds
        const val HOSTS_PER_SURVIVOR = 100
    }
}
