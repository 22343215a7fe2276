package kingcuptide.bench

import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Runs a benchmark; each prints lines of key=value pairs, with the unit in the key. */
fun main(args: Array<String>) {
    NoOpCliktCommand("bench")
        .subcommands(
            ConvergenceCommand(),
            ControlCommand(),
            MembershipCommand(),
            FailureDomainCommand(),
            OverloadCommand(),
            KeysCommand(),
            ApiKeysCommand(),
            AddedLatencyCommand(),
            DaemonsCommand(),
        ).main(args)
}
