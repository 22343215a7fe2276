package kingcuptide.standins.demo

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import kingcuptide.standins.fleet.LocalFleet

/** Runs the main functions of the fleet on stand-ins, checks each step, and ends all processes that it started. */
class DemoCommand : CliktCommand(name = "demo") {
    private val directory by option("--directory", help = "folder for logs and settings").path().required()

    override fun run() {
        val failure =
            LocalFleet(demoFleet(), directory, DEMO_OPTIONS).use { fleet ->
                runCatching { DemoSteps(fleet) { echo(it) }.runAll() }.exceptionOrNull()
            }
        if (failure == null) return echo("demo: ok")
        echo("demo: failed: ${failure.message}", err = true)
        throw ProgramResult(1)
    }
}
