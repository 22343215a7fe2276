package kingcuptide.forwarder.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.version.ReaderDuty
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reads the source while it is this daemon's [duty], each part at its own pace.
 *
 * A failed call is repeated after a pause that grows. Used on the event loop.
 */
class SourceFollower(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val source: Source,
    private val state: SharedState,
    private val random: Random,
    private val isFirstStart: Boolean,
    private val duty: ReaderDuty,
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
        for (part in source.parts) scope.launch { follow(part) }
    }

    private suspend fun follow(part: SourcePart) {
        if (part.isLarge) awaitPeers(part)
        var pause = FIRST_PAUSE
        while (true) {
            if (!duty.reads) {
                delay(DUTY_CHECK.inWholeMilliseconds)
                continue
            }
            val startedAt = clock.now()
            val succeeded = readOnce(part)
            pause = if (succeeded) FIRST_PAUSE else minOf(pause * 2, LONGEST_PAUSE)
            val pace = if (duty.isFirst) part.pace else part.pace * SECOND_READER_PACES
            val next = startedAt + if (succeeded) pace else pause
            delay((next - clock.now()).inWholeMilliseconds.coerceAtLeast(1))
        }
    }

    /** Peers that are there may tell sooner, and at less cost, than the source. */
    private suspend fun awaitPeers(part: SourcePart) {
        val wait = if (isFirstStart) FIRST_START_WAIT else RESTART_WAIT
        val until = clock.now() + wait + wait * random.nextDouble()
        while (clock.now() < until && state.asOf(part.prefix) == 0L) delay(PEER_CHECK.inWholeMilliseconds)
    }

    private suspend fun readOnce(part: SourcePart): Boolean {
        val prefix = part.prefix
        val after = state.asOf(prefix)
        calls++
        val result = if (after == 0L) source.readAll(prefix) else source.watch(prefix, after, part.wait)
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
        /**
         * Time that peers have to tell a daemon that starts; up to as much again is added by chance. A daemon that starts
         * again has callers that wait.
         */
        val FIRST_START_WAIT = 800.milliseconds
        val RESTART_WAIT = 80.milliseconds
        val PEER_CHECK = 20.milliseconds

        /** Paces between two calls of a reader that is only there in case the first one ends. */
        const val SECOND_READER_PACES = 2

        /** How often a daemon that doesn't read looks whether it should. */
        val DUTY_CHECK = 100.milliseconds
        val FIRST_PAUSE = 100.milliseconds
        val LONGEST_PAUSE = 800.milliseconds
        val log = eventLog("source")
    }
}
