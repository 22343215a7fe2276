package kingcuptide.bench

import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Runs one of the measurements; each prints key=value lines with the unit in the key. */
fun main(args: Array<String>) {
    NoOpCliktCommand("bench")
        .subcommands(
            ConvergenceCommand(),
            ControlCommand(),
            MembershipCommand(),
            FailureDomainCommand(),
            OverloadCommand(),
            KeysCommand(),
            AddedLatencyCommand(),
            DaemonsCommand(),
        ).main(args)
}
