package kingcuptide.bench.processes

import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Processor time and memory of one process, as the kernel accounts them. */
internal data class ProcessUsage(
    val cpuTime: Duration,
    val residentBytes: Long,
    val anonymousBytes: Long,
)

/** Reads the usage of process [pid] from the proc file system. */
internal fun usageOf(pid: Long): ProcessUsage {
    val status = Path.of("/proc/$pid/status").readLines()
    return ProcessUsage(
        cpuTime = cpuTimeOf(pid),
        residentBytes = status.kilobytes("VmRSS:") * 1_024,
        anonymousBytes = status.kilobytes("RssAnon:") * 1_024,
    )
}

private fun cpuTimeOf(pid: Long): Duration {
    val fields = Path.of("/proc/$pid/stat").readText().substringAfterLast(')').trim().split(' ')
    val ticks = fields[USER_TIME_FIELD].toLong() + fields[USER_TIME_FIELD + 1].toLong()
    return (ticks * MS_PER_CLOCK_TICK).milliseconds
}

private fun List<String>.kilobytes(name: String): Long =
    first { it.startsWith(name) }.removePrefix(name).trim().substringBefore(' ').toLong()

private const val USER_TIME_FIELD = 11
private const val MS_PER_CLOCK_TICK = 10
