package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kingcuptide.bench.membership.MembershipBench
import kingcuptide.bench.membership.MembershipBenchCase
import kingcuptide.bench.membership.membershipFaultTable

/**
 * Measures membership and status queries on a virtual clock: bytes, detection and dissemination times, and processor
 * time, compared with their objectives.
 */
class MembershipCommand : CliktCommand(name = "membership") {
    private val seed by option("--seed", help = "Seed of all random choices in the run").long().default(1)
    private val hosts by option("--hosts", help = "Number of hosts of the fleet").int().default(1_100)

    private val cases by option("--case", help = "Run only this case; may be repeated")
        .enum<MembershipBenchCase>()
        .multiple(MembershipBenchCase.entries)

    private val faultTable by option("--fault-table", help = "Print the fault matrix as Markdown and exit").flag()

    override fun run() {
        if (faultTable) return echo(membershipFaultTable())
        echo("bench=membership seed=$seed hosts=$hosts clock=virtual")
        val bench = MembershipBench(hosts, seed) { echo(it) }
        cases.forEach { bench.run(it) }
    }
}
