package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kingcuptide.bench.keys.KeyCosts
import kingcuptide.bench.keys.KeyFaultRates
import kingcuptide.bench.keys.KeyFleetShape
import kingcuptide.bench.keys.KeyPolicy
import kingcuptide.bench.keys.KeyTrial
import kotlin.time.Duration.Companion.seconds

/**
 * Measures the cost of idempotency keys and frames, and how many keys are executed twice while hosts fail, compared
 * with the baseline.
 */
class KeysCommand : CliktCommand("keys") {
    private val seed by option("--seed", help = "Seed of the random choices in the trials").long().default(1)
    private val rounds by option("--rounds", help = "Rounds of each cost measurement").int().default(50_000)
    private val seconds by option("--seconds", help = "Duration of each trial in virtual seconds").int().default(600)

    override fun run() {
        val costs = KeyCosts(KeyFleetShape(hosts = 1_100, failureDomains = 7), rounds, ::echo)
        costs.frames()
        costs.claims()
        costs.memory()
        for ((name, faults) in FAULTS) {
            KeyPolicy.entries.forEach { policy -> trial(name, faults, policy) }
        }
    }

    private fun trial(
        name: String,
        faults: KeyFaultRates,
        policy: KeyPolicy,
    ) {
        val shape = KeyFleetShape(hosts = 110, failureDomains = 7)
        val result = KeyTrial(shape, policy, faults, TRIAL_KEYS_PER_SECOND, seconds.seconds, seed).run()
        echo(
            "faults=$name policy=${policy.name.lowercase()} seed=$seed keys=${result.keys} " +
                "ran_once=${result.ranOnce} ran_twice=${result.ranTwice} never_ran=${result.neverRan} " +
                "answered=${result.answered} told_already_used=${result.alreadyUsed} " +
                "gave_up=${result.gaveUp} attempts=${result.attempts}",
        )
    }

    private companion object {
        const val TRIAL_KEYS_PER_SECOND = 100
        val FAULTS = mapOf(
            "none" to KeyFaultRates(0.0, 0.0, 0.0, 0.0),
            "raised" to KeyFaultRates(0.01, 0.01, messageLoss = 0.001, responseLoss = 0.001),
            "harsh" to KeyFaultRates(0.1, 0.2, messageLoss = 0.02, responseLoss = 0.02),
        )
    }
}
