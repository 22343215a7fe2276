package kingcuptide.standins.fleet

import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.createDirectories

/** Starts Java processes with the class path of this one, and ends those that are left when it closes. */
class ProcessStarter(
    private val directory: Path,
) : AutoCloseable {
    private val started = CopyOnWriteArrayList<ChildProcess>()
    private val hook = Thread { killAll() }

    init {
        directory.createDirectories()
        Runtime.getRuntime().addShutdownHook(hook)
    }

    /** Starts [mainClass] with [arguments]; its output goes to a log file named after [name]. */
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
        runCatching { Runtime.getRuntime().removeShutdownHook(hook) }
    }

    private fun killAll() = started.filter { it.isAlive }.forEach { it.kill() }
}
