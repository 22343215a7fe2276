package kingcuptide.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.coroutines.runBlocking

/** A subcommand that queries a daemon. */
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
        runBlocking { DaemonClient(url).use { query(it) } }
    }

    /** Queries the daemon through [client] and prints its reply. */
    protected abstract suspend fun query(client: DaemonClient)

    /** Prints [failure] to standard error and exits with [ExitCode.NO_ANSWER]. */
    protected fun fail(failure: DaemonFailure): Nothing {
        echo("code=${failure.code.number} name=${failure.code} daemon=$daemon reason=\"${failure.reason}\"", err = true)
        exitWith(ExitCode.NO_ANSWER)
    }
}
