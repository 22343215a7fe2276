package kingcuptide.cli

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import com.github.ajalt.clikt.core.main
import org.slf4j.LoggerFactory

/** Entry point of the binary `kingcuptide`. */
fun main(args: Array<String>) {
    silenceLibraries()
    kingcuptideCommand().main(args)
}

/** Turns off the logs of libraries, which would mix with the output of the command. */
private fun silenceLibraries() {
    val root = LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as? Logger ?: return
    root.level = Level.OFF
}
