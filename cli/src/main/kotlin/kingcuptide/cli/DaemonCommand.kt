package kingcuptide.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.coroutines.runBlocking

/** A subcommand that asks a daemon. */
internal abstract class DaemonCommand(
    name: String,
) : CliktCommand(name) {
    protected val daemon by option(
        "--daemon",
        envvar = "KINGCUPTIDE_DAEMON",
        metavar = "URL",
        help = "admin address of any daemon, such as http://127.0.0.1:9901",
    )

    protected val json by option("--json", help = "print JSON for scripts").flag()

    override fun run() {
        val url = daemon ?: throw UsageError("missing option --daemon")
        runBlocking { DaemonClient(url).use { ask(it) } }
    }

    /** Asks [client] and prints the answer. */
    protected abstract suspend fun ask(client: DaemonClient)

    /** Prints [failure] and ends the command. */
    protected fun fail(failure: DaemonFailure): Nothing {
        echo("code=${failure.code.number} name=${failure.code} daemon=$daemon reason=\"${failure.reason}\"", err = true)
        exitWith(ExitCode.NO_ANSWER)
    }
}
