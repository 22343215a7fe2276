package kingcuptide.standins.fleet

import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.createDirectories

/** Starts Java processes with the class path of this one; kills those still running when it closes or the JVM exits. */
class ProcessStarter(
    private val directory: Path,
) : AutoCloseable {
    private val started = CopyOnWriteArrayList<ChildProcess>()
    private val shutdownHook = Thread { killAll() }

    init {
        directory.createDirectories()
        Runtime.getRuntime().addShutdownHook(shutdownHook)
    }

    /** Starts [mainClass] with [arguments]; its output is appended to `NAME.log`. */
    fun start(name: String, mainClass: String, jvmFlags: List<String>, arguments: List<String>): ChildProcess {
        val log = directory.resolve("$name.log")
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command =
            listOf(java) + jvmFlags + listOf("-cp", System.getProperty("java.class.path"), mainClass) + arguments
        val process =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start()
        return ChildProcess(name, log, process).also { started += it }
    }

    override fun close() {
        killAll()
        runCatching { Runtime.getRuntime().removeShutdownHook(shutdownHook) }
    }

    private fun killAll() = started.filter { it.isAlive }.forEach { it.kill() }
}
