package kingcuptide.forwarder.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.version.ReaderRole
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the source while this daemon has the [readerRole].
 *
 * The initial read of each part may be stale, which is cheaper; what changed since comes from peers, or from the watch
 * that continues from its revision. One watch covers all parts, so that contact with the source is contact with all of
 * them. Failed calls are retried with exponential backoff. Used on the event loop.
 */
class SourceFollower(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val source: Source,
    private val state: PublishedStateSync,
    private val random: Random,
    private val isFirstStart: Boolean,
    private val readerRole: ReaderRole,
) {
    private var contactLost = false
    private var hasBeenCurrent = false
    private var reconcileAt: Duration = Duration.INFINITE

    /** Shortest measured time to connect to the source, or null while unknown. */
    var connectTime: Duration? = null
        private set

    /** Whether this daemon has read the current state, and its last call succeeded. */
    val isInContact: Boolean get() = hasBeenCurrent && !contactLost

    /** Number of calls made so far. */
    var calls: Long = 0
        private set

    fun start() {
        scope.launch { probeConnectTime() }
        for (part in source.parts) scope.launch { readInitially(part) }
        scope.launch { follow() }
    }

    private suspend fun probeConnectTime() {
        repeat(CONNECT_PROBES) {
            delay(CONNECT_PROBE_INTERVAL.inWholeMilliseconds)
            val measured = source.measureConnectTime() ?: return@repeat
            connectTime = minOf(connectTime ?: measured, measured)
        }
    }

    private suspend fun readInitially(part: SourcePart) {
        if (part.isLarge) awaitPeers { hasState(part) }
        var pause = MIN_RETRY_PAUSE
        while (!hasState(part) && !attempt { readWhole(part.prefix, allowStale = true) }) {
            delay(pause.inWholeMilliseconds)
            pause = minOf(pause * 2, MAX_RETRY_PAUSE)
        }
    }

    private fun hasState(part: SourcePart): Boolean = state.asOf(part.prefix) != 0L

    private suspend fun follow() {
        while (!source.parts.all(::hasState)) delay(PEER_CHECK_INTERVAL.inWholeMilliseconds)
        awaitPeers { !readerRole.readsSource }
        var pause = MIN_RETRY_PAUSE
        while (true) {
            if (!readerRole.readsSource) {
                delay(ROLE_CHECK_INTERVAL.inWholeMilliseconds)
                continue
            }
            val startedAt = clock.now()
            val succeeded = attempt { if (startedAt >= reconcileAt) reconcile() else watchChanges() }
            pause = if (succeeded) MIN_RETRY_PAUSE else minOf(pause * 2, MAX_RETRY_PAUSE)
            awaitNextCall(startedAt, if (succeeded) source.minWatchInterval else pause)
        }
    }

    /** Runs [call]; an unexpected error fails this call only, since nobody would follow the source after its task. */
    private suspend fun attempt(call: suspend () -> Boolean): Boolean =
        try {
            call()
        } catch (exception: CancellationException) {
            throw exception
        } catch (
            @Suppress("TooGenericExceptionCaught") throwable: Throwable,
        ) {
            log.error("task_failed", throwable)
            failed("$throwable")
        }

    private suspend fun awaitNextCall(startedAt: Duration, interval: Duration) {
        val remaining = startedAt + interval - clock.now()
        delay(maxOf(remaining, MIN_CALL_PAUSE).inWholeMilliseconds)
    }

    /** Waits before a call to the source, since peers may provide the state sooner and at less cost. */
    private suspend fun awaitPeers(isDone: () -> Boolean) {
        val wait = if (isFirstStart) FIRST_START_WAIT else RESTART_WAIT
        val jitter = if (isFirstStart) FIRST_START_JITTER else RESTART_WAIT
        val until = clock.now() + wait + jitter * random.nextDouble()
        while (clock.now() < until && !isDone()) delay(PEER_CHECK_INTERVAL.inWholeMilliseconds)
    }

    private suspend fun watchChanges(): Boolean {
        val after = source.parts.minOf { state.asOf(it.prefix) }
        calls++
        return when (val result = source.watch(after)) {
            is SourceResult.Items -> applyChanges(after, result)
            SourceResult.HistoryGone -> {
                log.info("source_history_gone", "after" to after)
                val eraBefore = state.era
                val succeeded = source.parts.all { readWhole(it.prefix, allowStale = false) }
                if (succeeded) markCurrent()
                if (state.era > eraBefore) reconcileAt = clock.now() + RECONCILE_DELAY
                succeeded
            }
            is SourceResult.Failed -> failed(result.reason)
        }
    }

    /** Reads everything once more, which ends what is kept only because a restored source may have lost it. */
    private suspend fun reconcile(): Boolean {
        val succeeded = source.parts.all { readWhole(it.prefix, allowStale = false) }
        if (succeeded) reconcileAt = Duration.INFINITE
        return succeeded
    }

    private fun applyChanges(after: Long, result: SourceResult.Items): Boolean {
        val applied = source.parts.map { part ->
            val ofPart = result.items.filter { it.key.startsWith(part.prefix) }
            state.readChanges(part.prefix, after, ofPart, result.asOf)
        }
        if (applied.all { it }) markCurrent()
        return applied.all { it }
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

    /** Records that the stored state equals the source. */
    private fun markCurrent() {
        if (contactLost || !hasBeenCurrent) {
            log.info("source_regained", "as_of" to source.parts.map { state.asOf(it.prefix) })
        }
        contactLost = false
        hasBeenCurrent = true
        state.confirmed()
    }

    private fun failed(reason: String): Boolean {
        if (!contactLost) log.warn("source_lost", "reason" to reason)
        contactLost = true
        return false
    }

    companion object {
        /** Time after a restore in which operators write again what the source has lost. */
        internal val RECONCILE_DELAY = 5.seconds

        /** Time for peers to inform a restarted daemon, whose callers wait; up to the same again is added at random. */
        private val RESTART_WAIT = 80.milliseconds

        /** The same when the whole fleet starts, seconds before any traffic: a few daemons read and inform the rest. */
        private val FIRST_START_WAIT = 800.milliseconds
        private val FIRST_START_JITTER = 3.seconds
        private val PEER_CHECK_INTERVAL = 20.milliseconds

        /** Measurements of the connect time; the first ones include process warm-up. */
        private const val CONNECT_PROBES = 4
        private val CONNECT_PROBE_INTERVAL = 200.milliseconds

        /** Interval at which a daemon without the reader role checks whether it has it. */
        private val ROLE_CHECK_INTERVAL = 100.milliseconds
        private val MIN_CALL_PAUSE = 1.milliseconds
        private val MIN_RETRY_PAUSE = 100.milliseconds
        private val MAX_RETRY_PAUSE = 800.milliseconds
        private val log = eventLog("source")
    }
}
