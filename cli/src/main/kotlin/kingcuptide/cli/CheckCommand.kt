package kingcuptide.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kingcuptide.forwarder.process.readForwarderSettings
import kingcuptide.platform.MAX_CHECKED_CHARS
import kingcuptide.platform.isConfiguration
import java.nio.file.Path
import kotlin.io.path.inputStream

/** `kingcuptide check`: validates a document, or the settings of a daemon. */
internal class CheckCommand : CliktCommand("check") {
    private val document by argument("FILE", help = "the document to check, or the settings")
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)

    private val hosts by option("--hosts", metavar = "FILE", help = "a host list to check the document against")
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)

    private val settings by option(
        "--settings",
        help = "FILE is a daemon's settings, filled in from the template",
    ).flag()

    private val json by option("--json", help = "print JSON for scripts").flag()

    override fun help(context: Context): String =
        "Checks a document, of the project or of the users' platform, and names every fault in one run, or the " +
            "settings of a daemon and names the first."

    override fun run() {
        if (settings) return checkSettings()
        val text = readBounded(document)
        if (hosts != null && isConfiguration(text)) throw UsageError("--hosts goes with a document of the project only")
        val report = checkTexts(text, hosts?.let { readBounded(it) })
        echo(if (json) OUTPUT_JSON.encodeToString(CheckReport.serializer(), report) else checkText(report))
        if (report.errors > 0) exitWith(ExitCode.REFUSED)
    }

    private fun checkSettings() {
        if (hosts != null) throw UsageError("--hosts goes with a document, not with --settings")
        readForwarderSettings(readBounded(document))
            .onSuccess { echo("the settings of host ${it.host} are valid") }
            .onFailure {
                echo("code=${it.code.number} name=${it.code} reason=\"${it.reason}\"", err = true)
                exitWith(ExitCode.REFUSED)
            }
    }

    /** Reads at most one byte more than the size limit, so that the check can detect a file that exceeds it. */
    private fun readBounded(path: Path): String =
        path.inputStream().use { it.readNBytes(MAX_CHECKED_CHARS + 1) }.decodeToString()
}
