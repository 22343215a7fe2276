package kingcuptide.daemon.process

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.michaelbull.result.getOrElse
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.systemClock
import kotlinx.coroutines.runBlocking
import java.time.Clock
import java.util.concurrent.CountDownLatch
import kotlin.random.Random

/** The daemon's command line. */
class DaemonCommand : CliktCommand(name = "kingcuptided") {
    private val settingsFile by option(
        "--settings",
        help = "settings file, JSON with comments",
    ).file(mustExist = true, canBeDir = false).required()
    private val checkSettings by option("--check-settings", help = "check the settings and exit").flag()

    override fun run() {
        val settings = readSettings(settingsFile.readText(), settingsFile.name).getOrElse { refuse(it) }
        if (checkSettings) return echo("settings ok")
        serve(settings)
    }

    private fun refuse(faults: List<SettingsFault>): Nothing {
        faults.forEach {
            echo("code=${it.code.number} file=${it.file} path=${it.path} reason=${it.reason}", err = true)
        }
        throw ProgramResult(SETTINGS_REFUSED)
    }

    private fun serve(settings: DaemonSettings) {
        setLogLevel(settings.logLevel)
        val startedAt = Clock.systemUTC().millis()
        val daemon = Daemon(
            settings,
            systemClock(),
            Incarnation(startedAt),
            Random(
                startedAt xor settings.host.value.hashCode().toLong(),
            ),
        )
        val ended = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                runBlocking { daemon.stop() }
                ended.countDown()
            },
        )
        runBlocking { daemon.start() }
        ended.await()
    }

    private companion object {
        const val SETTINGS_REFUSED = 2
    }
}

fun main(args: Array<String>) {
    // The JDK's HTTP client retries failed GET requests by default; only kingcuptide decides on retries.
    System.setProperty("jdk.httpclient.redirects.retrylimit", "1")
    DaemonCommand().main(args)
}
