package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.long
import kingcuptide.bench.requests.FleetShape
import kingcuptide.bench.requests.Load
import kingcuptide.bench.requests.Scenario
import kingcuptide.bench.requests.Second
import kingcuptide.bench.requests.TargetShape
import kingcuptide.coordination.process.FailureDomainId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures success and latency per second while a failure domain leaves and returns, compared with the baseline. */
class FailureDomainCommand : CliktCommand("failure-domain") {
    private val seed by option("--seed", help = "Seed of all random choices in the run").long().default(1)
    private val utilization by option(
        "--utilization",
        help = "Offered load as a fraction of capacity",
    ).double().default(0.6)
    private val size by option("--size").choice("georgia" to FleetShape.GEORGIA, "large" to FleetShape.LARGE)
        .default(FleetShape.GEORGIA)
    private val perSecond by option("--per-second", help = "Print every second").flag(default = false)

    override fun run() {
        for (loss in listOf("planned", "sudden")) {
            for (policy in listOf("plain", "routed")) measure(loss, policy)
        }
    }

    private fun measure(loss: String, policy: String) {
        val scenario = Scenario(size, TargetShape(), seed, plain = policy == "plain")
        val domain = FailureDomainId("d0")
        if (loss == "planned") scenario.leaveAndReturn(domain, LEAVE_AT, RETURN_AT)
        if (loss == "sudden") scenario.loseAndReturn(domain, LEAVE_AT, RETURN_AT)
        scenario.run(Load(perSecond = scenario.capacityPerSecond * utilization, until = END))
        val measured = scenario.load.seconds.drop(WARM_UP_SECONDS)
        if (perSecond) measured.forEachIndexed { index, second -> printSecond(loss, policy, index, second) }
        printSummary(loss, policy, scenario, measured)
    }

    private fun printSecond(loss: String, policy: String, index: Int, second: Second) {
        val at = index + WARM_UP_SECONDS
        val failures = second.failuresByCode().entries.joinToString(",") { "${it.key}:${it.value}" }
        echo(
            "loss=$loss policy=$policy at_s=$at sent=${second.sent} success_ratio=${"%.4f".format(
                second.successRatio,
            )} " +
                "p99_ms=${p99Ms(second)} failed_repeatable=${second.failed(idempotent = true)} " +
                "failed_nonrepeatable=${second.failed(idempotent = false)} codes=$failures",
        )
    }

    private fun printSummary(loss: String, policy: String, scenario: Scenario, seconds: List<Second>) {
        val targets = scenario.fleet.targets().map { it.target!! }
        val sent = seconds.sumOf { it.sent }
        val prefix = "loss=$loss policy=$policy"
        echo("$prefix sent=$sent")
        echo("$prefix success_ratio=${"%.6f".format(seconds.sumOf { it.answered }.toDouble() / sent)}")
        echo("$prefix worst_second_success_ratio=${"%.4f".format(seconds.minOf { it.successRatio })}")
        echo("$prefix worst_second_p99_ms=${seconds.maxOf { p99Ms(it) }}")
        echo("$prefix failed_repeatable=${seconds.sumOf { it.failed(idempotent = true) }}")
        echo("$prefix failed_nonrepeatable=${seconds.sumOf { it.failed(idempotent = false) }}")
        echo("$prefix retries_per_request=${"%.4f".format(seconds.sumOf { it.attempts }.toDouble() / sent - 1)}")
        echo("$prefix worst_beyond_bearing=${targets.maxOf { it.worstExcess }}")
        echo("$prefix requests_sent_beyond_bearing=${targets.sumOf { it.admittedBeyond }}")
        echo("$prefix duplicate_runs_nonrepeatable=${maxOf(0, scenario.load.worstRunsOfNonRepeatable() - 1)}")
        echo("$prefix untrue_refusals=${scenario.load.untrueRefusals()}")
    }

    private fun p99Ms(second: Second): Int = second.p99.toDouble(DurationUnit.MILLISECONDS).toInt()

    private companion object {
        const val WARM_UP_SECONDS = 30
        val LEAVE_AT = 40.seconds
        val RETURN_AT = 55.seconds
        val END = 100.seconds
    }
}
