package kingcuptide.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import kingcuptide.coordination.version.MAX_RESOURCE_BYTES
import java.nio.file.Path
import kotlin.io.path.inputStream

/** `kingcuptide check`. */
internal class CheckCommand : CliktCommand("check") {
    private val document by argument("DOCUMENT", help = "the document to check")
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)

    private val hosts by option("--hosts", metavar = "FILE", help = "a host list to check the document against")
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)

    private val json by option("--json", help = "print JSON for scripts").flag()

    override fun help(context: Context): String = "Checks a document and names every fault in one run."

    override fun run() {
        val report = checkTexts(readBounded(document), hosts?.let { readBounded(it) })
        echo(if (json) OUTPUT_JSON.encodeToString(CheckReport.serializer(), report) else checkText(report))
        if (report.errors > 0) exitWith(ExitCode.REFUSED)
    }

    /** Reads one byte more than is allowed, so that the check sees that there is too much. */
    private fun readBounded(path: Path): String =
        path.inputStream().use { it.readNBytes(MAX_RESOURCE_BYTES + 1) }.decodeToString()
}
