package kingcuptide.standins.fleet

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A process that this one started; signals go only to such processes. */
class ChildProcess internal constructor(
    val name: String,
    val logFile: Path,
    private val process: Process,
) {
    val pid: Long get() = process.pid()
    val isAlive: Boolean get() = process.isAlive

    /** Requests a graceful stop (SIGTERM). */
    fun terminate() {
        process.destroy()
    }

    /** Kills the process (SIGKILL). */
    fun kill() {
        process.destroyForcibly()
    }

    /** Suspends the process until [wake] (SIGSTOP). */
    fun freeze() = signal("STOP")

    /** Resumes a suspended process (SIGCONT). */
    fun wake() = signal("CONT")

    /** Waits for the process to exit; returns its status, or null if it still runs after [limit]. */
    fun awaitExit(limit: Duration): Int? =
        if (process.waitFor(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)) process.exitValue() else null

    private fun signal(signal: String) {
        val status = ProcessBuilder("kill", "-$signal", pid.toString()).start().waitFor()
        check(status == 0) { "signal $signal to $name failed with status $status" }
    }
}
