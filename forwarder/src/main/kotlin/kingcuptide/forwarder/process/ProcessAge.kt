package kingcuptide.forwarder.process

import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Returns the time since the system started this process, or zero if it can't be told. Both files count from the start of
 * the system, so a clock that is set does not matter; [java.lang.ProcessHandle] is off by up to 1 s.
 */
internal fun processAge(): Duration =
    runCatching { processAge(File("/proc/self/stat").readText(), File("/proc/uptime").readText()) }.getOrDefault(NO_AGE)

/** Returns the age of the process with the line [stat] of `/proc/PID/stat` at [uptime], the line of `/proc/uptime`. */
internal fun processAge(stat: String, uptime: String): Duration {
    val startTicks = stat.substringAfterLast(')').trim().split(' ')[START_FIELD].toLong()
    val age = uptime.substringBefore(' ').toDouble().seconds - TICK * startTicks.toDouble() - RESOLUTION
    return age.coerceAtLeast(NO_AGE)
}

private val NO_AGE = Duration.ZERO

/** Position of the start time among the fields after the name of the command. */
private const val START_FIELD = 19

/** User-visible ticks of Linux; 100 a second on all platforms that Java 17 supports. */
private val TICK = 10.milliseconds

/** Both times are rounded to a tick. */
private val RESOLUTION = 20.milliseconds
