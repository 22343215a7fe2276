package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kingcuptide.bench.membership.MembershipBench
import kingcuptide.bench.membership.MembershipBenchCase

/** Measures membership and status queries on a virtual clock: bytes, detection, spread and processor time, against their targets. */
class MembershipCommand : CliktCommand(name = "membership") {
    private val seed by option("--seed", help = "Seed of every random choice").long().default(1)
    private val hosts by option("--hosts", help = "Size of the fleet").int().default(1_100)

    private val cases by option("--case", help = "Measure only this; may be repeated")
        .enum<MembershipBenchCase>()
        .multiple(MembershipBenchCase.entries)

    override fun run() {
        echo("bench=membership seed=$seed hosts=$hosts clock=virtual")
        val bench = MembershipBench(hosts, seed) { echo(it) }
        cases.forEach { bench.run(it) }
    }
}
