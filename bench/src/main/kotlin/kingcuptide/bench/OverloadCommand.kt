package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import kingcuptide.bench.requests.FleetShape
import kingcuptide.bench.requests.Load
import kingcuptide.bench.requests.Scenario
import kingcuptide.bench.requests.TargetShape
import kotlin.time.Duration.Companion.seconds

/** Measures goodput at one, two and four times the capacity of the targets, compared with the baseline. */
class OverloadCommand : CliktCommand("overload") {
    private val seed by option("--seed", help = "Seed of all random choices in the run").long().default(1)
    private val size by option("--size").choice("georgia" to FleetShape.GEORGIA, "large" to FleetShape.LARGE)
        .default(FleetShape.GEORGIA)

    override fun run() {
        for (policy in listOf("plain", "routed")) {
            val atCapacity = measure(policy, factor = 1)
            for (factor in listOf(2, 4)) {
                val goodput = measure(policy, factor)
                echo("policy=$policy offered=${factor}x goodput_share_of_1x=${"%.4f".format(goodput / atCapacity)}")
            }
        }
    }

    private fun measure(policy: String, factor: Int): Double {
        val scenario = Scenario(size, TargetShape(), seed, plain = policy == "plain")
        val offered = scenario.capacityPerSecond * factor
        scenario.load.start(Load(perSecond = scenario.capacityPerSecond * WARM_UP_UTILIZATION, until = WARM_UP))
        scenario.time.runUntil(WARM_UP)
        scenario.run(Load(perSecond = offered, until = END))
        val seconds = scenario.load.seconds.drop(MEASURED_FROM_SECOND)
        val goodput = seconds.sumOf { it.answered }.toDouble() / seconds.size
        val retries = seconds.sumOf { it.attempts }.toDouble() / seconds.sumOf { it.sent } - 1
        val targets = scenario.fleet.targets().map { it.target!! }
        val prefix = "policy=$policy offered=${factor}x"
        echo("$prefix offered_per_second=${offered.toInt()}")
        echo("$prefix goodput_per_second=${"%.1f".format(goodput)}")
        echo("$prefix worst_second_p99_ms=${seconds.maxOf { it.p99.inWholeMilliseconds }}")
        echo("$prefix retries_per_request=${"%.4f".format(retries)}")
        echo("$prefix worst_beyond_bearing=${targets.maxOf { it.worstExcess }}")
        return goodput
    }

    private companion object {
        const val WARM_UP_UTILIZATION = 0.6
        const val MEASURED_FROM_SECOND = 35
        val WARM_UP = 30.seconds
        val END = 55.seconds
    }
}
