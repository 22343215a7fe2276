package kingcuptide.forwarder.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.version.ReaderRole
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the source while it is this daemon's [duty].
 *
 * The first read of each part is a cheap one, whose answer may be old: what changed since comes from peers, or from the
 * watch that goes on from there. One watch tells of all parts, so that contact with the source is contact with all that
 * it holds. A failed call is repeated after a pause that grows. Used on the event loop.
 */
class SourceFollower(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val source: Source,
    private val state: PublishedStateSync,
    private val random: Random,
    private val isFirstStart: Boolean,
    private val duty: ReaderRole,
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
        for (part in source.parts) scope.launch { readFirst(part) }
        scope.launch { follow() }
    }

    private suspend fun measureReach() {
        repeat(REACH_PROBES) {
            delay(REACH_PAUSE.inWholeMilliseconds)
            val took = source.measureConnectTime() ?: return@repeat
            reachTime = minOf(reachTime ?: took, took)
        }
    }

    private suspend fun readFirst(part: SourcePart) {
        if (part.isLarge) await { isKnown(part) }
        var pause = FIRST_PAUSE
        while (!isKnown(part) && !readWhole(part.prefix, allowStale = true)) {
            delay(pause.inWholeMilliseconds)
            pause = minOf(pause * 2, LONGEST_PAUSE)
        }
    }

    private fun isKnown(part: SourcePart): Boolean = state.asOf(part.prefix) != 0L

    private suspend fun follow() {
        while (!source.parts.all(::isKnown)) delay(PEER_CHECK.inWholeMilliseconds)
        await { !duty.readsSource }
        var pause = FIRST_PAUSE
        while (true) {
            if (!duty.readsSource) {
                delay(DUTY_CHECK.inWholeMilliseconds)
                continue
            }
            val startedAt = clock.now()
            val succeeded = watchOnce()
            pause = if (succeeded) FIRST_PAUSE else minOf(pause * 2, LONGEST_PAUSE)
            awaitPace(startedAt, if (succeeded) source.minWatchInterval else pause)
        }
    }

    private suspend fun awaitPace(startedAt: Duration, minWatchInterval: Duration) {
        val left = startedAt + minWatchInterval - clock.now()
        delay(maxOf(left, SHORTEST_PAUSE).inWholeMilliseconds)
    }

    /** Peers that are there may tell sooner, and at less cost, than the source. */
    private suspend fun await(isDone: () -> Boolean) {
        val wait = if (isFirstStart) FIRST_START_WAIT else RESTART_WAIT
        val spread = if (isFirstStart) FIRST_START_SPREAD else RESTART_WAIT
        val until = clock.now() + wait + spread * random.nextDouble()
        while (clock.now() < until && !isDone()) delay(PEER_CHECK.inWholeMilliseconds)
    }

    private suspend fun watchOnce(): Boolean {
        val after = source.parts.minOf { state.asOf(it.prefix) }
        calls++
        return when (val result = source.watch(after)) {
            is SourceResult.Items -> took(after, result)
            SourceResult.HistoryGone -> {
                log.info("source_history_gone", "after" to after)
                source.parts.all { readWhole(it.prefix, allowStale = false) }.also { if (it) current() }
            }
            is SourceResult.Failed -> failed(result.reason)
        }
    }

    private fun took(after: Long, result: SourceResult.Items): Boolean {
        val known = source.parts.map { part ->
            val ofPart = result.items.filter { it.key.startsWith(part.prefix) }
            state.readChanges(part.prefix, after, ofPart, result.asOf)
        }
        if (known.all { it }) current()
        return known.all { it }
    }

    private suspend fun readWhole(prefix: String, allowStale: Boolean): Boolean {
        calls++
        return when (val result = source.readAll(prefix, allowStale)) {
            is SourceResult.Items -> {
                state.readAll(prefix, result.items, result.asOf)
                true
            }
            SourceResult.HistoryGone -> false
            is SourceResult.Failed -> failed(result.reason)
        }
    }

    /** What is held is what the source holds. */
    private fun current() {
        if (lost || !everCurrent) log.info("source_regained", "as_of" to source.parts.map { state.asOf(it.prefix) })
        lost = false
        everCurrent = true
        state.confirmed()
    }

    private fun failed(reason: String): Boolean {
        if (!lost) log.warn("source_lost", "reason" to reason)
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

        /** How often a daemon looks whether it should read. */
        val DUTY_CHECK = 100.milliseconds
        val SHORTEST_PAUSE = 1.milliseconds
        val FIRST_PAUSE = 100.milliseconds
        val LONGEST_PAUSE = 800.milliseconds
        val log = eventLog("source")
    }
}
