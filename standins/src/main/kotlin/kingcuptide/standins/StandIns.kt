package kingcuptide.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import kingcuptide.standins.demo.DemoCommand

/** Stand-ins for the platform and the targets, and the demo on them. */
class StandIns : CliktCommand(name = "standins") {
    override fun run() = Unit
}

fun main(args: Array<String>) {
    StandIns().subcommands(PlatformCommand(), TargetCommand(), DemoCommand()).main(args)
}
