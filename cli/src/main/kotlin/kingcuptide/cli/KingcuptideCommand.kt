package kingcuptide.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.systemClock
import kotlinx.coroutines.delay
import java.io.InputStream
import kotlin.time.Duration

/** The operators' command. It only reads; changes to the fleet go through the document of the console. */
internal class KingcuptideCommand : NoOpCliktCommand(name = "kingcuptide") {
    override fun help(context: Context): String = "Checks documents and shows what the fleet has in force."

    override fun helpEpilog(context: Context): String =
        "Exit codes: 0 as asked for; 1 wrong use; 2 document refused, or no host could take the request; " +
            "3 no usable answer from the daemon; 4 waiting timed out; 5 no log line names the request."
}

/** Creates the command with its subcommands. [clock] and [pause] are used only by `wait`, and
 * [standardInput] is read only by `explain`. */
internal fun kingcuptideCommand(
    clock: Clock = systemClock(),
    standardInput: InputStream = System.`in`,
    pause: suspend (Duration) -> Unit = { delay(it) },
): KingcuptideCommand =
    KingcuptideCommand().subcommands(
        CheckCommand(),
        StatusCommand(),
        WaitCommand(clock, pause),
        ExplainCommand(standardInput),
    )
