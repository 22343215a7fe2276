package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import kingcuptide.bench.fleet.FleetShape
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Measures the bytes that each daemon receives, the calls that the platform gets, and processor time.
 *
 * The processor time is that of the decisions of all hosts and of the fake transport, which encodes each message to
 * count its bytes. Contents are shared between the hosts: what one daemon spends on a change is measured apart.
 */
class ControlCommand : CliktCommand("control") {
    private val seed by option().int().default(1)

    override fun run() {
        println("target_received_bytes_per_second=13000 target_source_calls_per_second=2000")
        for (documentBytes in listOf(50_000, 950_000)) {
            for (distribution in Distribution.entries) measureLetter(distribution, documentBytes)
        }
        for (hosts in listOf(5, 20, 80)) {
            val trial = FleetTrial(FleetShape(listOf(4, 3), hosts), Distribution.SPREAD, seed, 50_000)
            rest("fleet", trial, Distribution.SPREAD, 50_000)
        }
        for (documentBytes in listOf(50_000, 950_000)) println(measureChangeCost(seed, documentBytes))
    }

    private fun measureLetter(distribution: Distribution, documentBytes: Int) {
        val trial = FleetTrial(FleetTrial.LETTER_SHAPE, distribution, seed, documentBytes)
        rest("rest", trial, distribution, documentBytes)
        val daily = trial.measureReceived(CHANGE_GAP) {
            trial.publish()
            trial.fleet.run(CHANGE_GAP)
        }
        print("daily_changes_1600", trial, distribution, documentBytes, daily)
        val burst = trial.measureReceived(BURST) {
            repeat(BURST.inWholeSeconds.toInt()) {
                trial.publish()
                trial.fleet.run(1.seconds)
            }
        }
        print("burst_1_change_per_s", trial, distribution, documentBytes, burst)
        herdRestart(trial, distribution, documentBytes)
    }

    private fun rest(row: String, trial: FleetTrial, distribution: Distribution, documentBytes: Int) {
        val rate = trial.measureReceived(REST) { trial.fleet.run(REST) }
        print(row, trial, distribution, documentBytes, rate)
        val ages = trial.confirmedAges().map { it.inWholeMilliseconds }
        if (ages.isEmpty()) return
        println(
            "row=freshness hosts=${ages.size} confirmed_age_p50_ms=${ages[ages.size / 2]} confirmed_age_max_ms=${ages.last()}",
        )
    }

    private fun herdRestart(trial: FleetTrial, distribution: Distribution, documentBytes: Int) {
        val survivors = trial.fleet.hosts.filterIndexed { index, _ -> index % SURVIVOR_OF == 0 }
        val restarted = trial.fleet.hosts - survivors.toSet()
        restarted.forEach { trial.fleet.kill(it) }
        var ready: Duration? = null
        val rate = trial.measureReceived(HERD) {
            trial.fleet.start(restarted)
            ready = trial.fleet.runUntil(HERD) { trial.fleet.hosts.all { it.daemon?.canAcceptWork == true } }
            trial.fleet.run(HERD - (ready ?: HERD))
        }
        print("herd_restart", trial, distribution, documentBytes, rate)
        println(
            "row=herd_restart ready_ms=${ready?.inWholeMilliseconds} survivors=${survivors.size} hosts_behind=${trial.hostsBehind()}",
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
        val REST = 20.seconds
        val CHANGE_GAP = 54.seconds
        val BURST = 10.seconds
        val HERD = 15.seconds
        const val SURVIVOR_OF = 100
    }
}
