package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Runs one of the measurements. */
class Bench : CliktCommand(name = "bench") {
    override fun run() = Unit
}

fun main(args: Array<String>) {
    Bench().subcommands(MembershipCommand()).main(args)
}
