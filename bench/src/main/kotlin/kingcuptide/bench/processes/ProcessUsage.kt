package kingcuptide.bench.processes

import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What the kernel says of one process. */
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
    val ticks = fields[UTIME_FIELD].toLong() + fields[UTIME_FIELD + 1].toLong()
    return (ticks * MS_PER_TICK).milliseconds
}

private fun List<String>.kilobytes(name: String): Long =
    first { it.startsWith(name) }.removePrefix(name).trim().substringBefore(' ').toLong()

private const val UTIME_FIELD = 11
private const val MS_PER_TICK = 10
