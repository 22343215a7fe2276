package kingcuptide.forwarder.version

import kingcuptide.coordination.process.Clock
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the source while [mayRead], at a bounded pace: at most one call for each prefix in [PACE].
 *
 * A failed call is repeated after a pause that grows. Used on the event loop.
 */
class SourceFollower(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val source: Source,
    private val state: SharedState,
    private val mayRead: () -> Boolean,
) {
    private var lost = false

    /** Time that the last successful whole read took, or null if none succeeded. */
    var readTime: Duration? = null
        private set

    /** Whether the last call succeeded. */
    val isInContact: Boolean get() = readTime != null && !lost

    /** Calls made so far. */
    var calls: Long = 0
        private set

    fun start() {
        for (prefix in source.prefixes) scope.launch { follow(prefix) }
    }

    private suspend fun follow(prefix: String) {
        var pause = FIRST_PAUSE
        while (true) {
            if (!mayRead()) {
                delay(DUTY_CHECK.inWholeMilliseconds)
                continue
            }
            val startedAt = clock.now()
            pause = if (readOnce(prefix)) FIRST_PAUSE else minOf(pause * 2, LONGEST_PAUSE)
            val atLeast = if (lost) pause else PACE
            delay((startedAt + atLeast - clock.now()).inWholeMilliseconds.coerceAtLeast(1))
        }
    }

    private suspend fun readOnce(prefix: String): Boolean {
        val after = state.asOf(prefix)
        calls++
        val result = if (after == 0L) source.readAll(prefix) else source.watch(prefix, after, WATCH_WAIT)
        when (result) {
            is SourceResult.Items -> return took(prefix, after, result)
            SourceResult.HistoryGone -> {
                log.info("source_history_gone", "prefix" to prefix, "after" to after)
                return readWhole(prefix)
            }
            is SourceResult.Failed -> {
                failed(prefix, result.reason)
                return false
            }
        }
    }

    private suspend fun readWhole(prefix: String): Boolean {
        calls++
        return when (val result = source.readAll(prefix)) {
            is SourceResult.Items -> took(prefix, 0, result)
            SourceResult.HistoryGone -> false
            is SourceResult.Failed -> {
                failed(prefix, result.reason)
                false
            }
        }
    }

    private fun took(prefix: String, after: Long, result: SourceResult.Items): Boolean {
        val began = clock.now()
        if (after == 0L) {
            state.readAll(prefix, result.items, result.asOf)
        } else if (!state.readChanges(prefix, after, result.items, result.asOf)) {
            return false
        }
        if (lost || readTime == null) log.info("source_regained", "prefix" to prefix, "as_of" to result.asOf)
        lost = false
        readTime = readTime ?: (clock.now() - began)
        state.confirmed()
        return true
    }

    private fun failed(prefix: String, reason: String) {
        if (!lost) log.warn("source_lost", "prefix" to prefix, "reason" to reason)
        lost = true
    }

    private companion object {
        /** Shortest time between the starts of two calls; well within the time in which a change must be in force. */
        val PACE = 600.milliseconds

        /** Longest time that a watch waits at the source; a change ends it at once. */
        val WATCH_WAIT = 1.seconds

        /** How often a daemon that doesn't read looks whether it should. */
        val DUTY_CHECK = 100.milliseconds
        val FIRST_PAUSE = 100.milliseconds
        val LONGEST_PAUSE = 800.milliseconds
        val log = eventLog("source")
    }
}
