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
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the source while it is this daemon's [duty], each part at its own pace.
 *
 * The first read is a cheap one, whose answer may be old: what changed since comes from peers, or from the watch that
 * goes on from there. A failed call is repeated after a pause that grows. Used on the event loop.
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
    private var everCurrent = false

    /** Time that it takes to reach the source, or null while it is not known. */
    var reachTime: Duration? = null
        private set

    /** Whether this daemon has read what is current, and its last call succeeded. */
    val isInContact: Boolean get() = everCurrent && !lost

    /** Calls made so far. */
    var calls: Long = 0
        private set

    fun start() {
        scope.launch { measureReach() }
        for (part in source.parts) scope.launch { follow(part) }
    }

    private suspend fun measureReach() {
        repeat(REACH_PROBES) {
            delay(REACH_PAUSE.inWholeMilliseconds)
            val took = source.reach() ?: return@repeat
            reachTime = minOf(reachTime ?: took, took)
        }
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
            awaitPace(startedAt) { if (succeeded) paceOf(part) else pause }
        }
    }

    /** Looks at the pace again and again: a second reader may become the first meanwhile. */
    private suspend fun awaitPace(startedAt: Duration, pace: () -> Duration) {
        do {
            val left = startedAt + pace() - clock.now()
            delay(left.coerceIn(SHORTEST_PAUSE, DUTY_CHECK).inWholeMilliseconds)
        } while (left > DUTY_CHECK)
    }

    private fun paceOf(part: SourcePart): Duration = if (duty.isFirst) part.pace else part.pace * SECOND_READER_PACES

    /** Peers that are there may tell sooner, and at less cost, than the source. */
    private suspend fun awaitPeers(part: SourcePart) = await { state.asOf(part.prefix) != 0L }

    private suspend fun await(isDone: () -> Boolean) {
        val wait = if (isFirstStart) FIRST_START_WAIT else RESTART_WAIT
        val spread = if (isFirstStart) FIRST_START_SPREAD else RESTART_WAIT
        val until = clock.now() + wait + spread * random.nextDouble()
        while (clock.now() < until && !isDone()) delay(PEER_CHECK.inWholeMilliseconds)
    }

    private suspend fun readOnce(part: SourcePart): Boolean {
        val prefix = part.prefix
        if (state.asOf(prefix) == 0L) {
            if (!readWhole(prefix, cheap = true)) return false
            await { !duty.reads }
            if (!duty.reads) return true
        }
        val after = state.asOf(prefix)
        calls++
        return when (val result = source.watch(prefix, after, part.wait)) {
            is SourceResult.Items -> {
                state.readChanges(prefix, after, result.items, result.asOf).also { if (it) current(prefix) }
            }
            SourceResult.HistoryGone -> {
                log.info("source_history_gone", "prefix" to prefix, "after" to after)
                readWhole(prefix, cheap = false)
            }
            is SourceResult.Failed -> failed(prefix, result.reason)
        }
    }

    private suspend fun readWhole(prefix: String, cheap: Boolean): Boolean {
        calls++
        return when (val result = source.readAll(prefix, cheap)) {
            is SourceResult.Items -> {
                state.readAll(prefix, result.items, result.asOf)
                if (!cheap) current(prefix)
                true
            }
            SourceResult.HistoryGone -> false
            is SourceResult.Failed -> failed(prefix, result.reason)
        }
    }

    /** What is held of [prefix] is what the source holds. */
    private fun current(prefix: String) {
        if (lost || !everCurrent) log.info("source_regained", "prefix" to prefix, "as_of" to state.asOf(prefix))
        lost = false
        everCurrent = true
        state.confirmed()
    }

    private fun failed(prefix: String, reason: String): Boolean {
        if (!lost) log.warn("source_lost", "prefix" to prefix, "reason" to reason)
        lost = true
        return false
    }

    private companion object {
        /** Time that peers have to tell a daemon that starts again, whose callers wait; as much is added by chance. */
        val RESTART_WAIT = 80.milliseconds

        /** The same when the whole fleet starts, seconds before any traffic: a few read, and tell the others. */
        val FIRST_START_WAIT = 800.milliseconds
        val FIRST_START_SPREAD = 3.seconds
        val PEER_CHECK = 20.milliseconds

        /** Times that the way to the source is measured: the first ones show how a process warms up. */
        const val REACH_PROBES = 4
        val REACH_PAUSE = 200.milliseconds

        /** Paces between two calls of a reader that is only there in case the first one ends. */
        const val SECOND_READER_PACES = 2

        /** How often a daemon looks whether it should read, and how fast. */
        val DUTY_CHECK = 100.milliseconds
        val SHORTEST_PAUSE = 1.milliseconds
        val FIRST_PAUSE = 100.milliseconds
        val LONGEST_PAUSE = 800.milliseconds
        val log = eventLog("source")
    }
}
