package kingcuptide.coordination.version

import kingcuptide.coordination.process.Clock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when this daemon reads one resource from the platform.
 *
 * A daemon with the reader role keeps one waiting watch. Any other daemon reads only if it holds nothing, or if it has
 * heard no confirmation for long. Failures are repeated with growing, random pauses, and every call needs a token of
 * [budget]. Not thread-safe.
 */
internal class SourceReader(
    private val kind: ResourceKind,
    private val clock: Clock,
    private val random: Random,
    private val settings: VersionSettings,
    private val budget: TokenBucket,
    private val counters: VersionCounters,
) {
    private var call: CallInFlight? = null
    private var notBefore: Duration = clock.now()
    private var failures = 0
    private var maxBackOff = MAX_FALLBACK_BACK_OFF
    private var fallbackAfter = nextFallbackAfter()

    /**
     * Returns the call to make, if any.
     *
     * @param isReader whether this daemon has the reader role
     * @param afterNumber the greatest number that is held or refused, or null if there is none
     * @param confirmedAge age of the last confirmation, counted from the start of the daemon if there was none
     * @param nextCall makes the number of the call
     */
    fun tick(isReader: Boolean, afterNumber: Long?, confirmedAge: Duration, nextCall: () -> Long): SourceEffect? {
        val now = clock.now()
        expireCall(now)
        maxBackOff = if (isReader || afterNumber == null) MAX_READER_BACK_OFF else MAX_FALLBACK_BACK_OFF
        if (isReader) notBefore = minOf(notBefore, now + MAX_READER_BACK_OFF)
        if (call != null || now < notBefore) return null
        val isFallback = !isReader && afterNumber != null
        if (isFallback && confirmedAge < fallbackAfter) return null
        if (!budget.tryAcquire()) {
            counters.count(VersionEvent.SOURCE_BUDGET_SPENT)
            notBefore = now + BUDGET_RETRY
            return null
        }
        counters.count(VersionEvent.SOURCE_CALL)
        if (isFallback) counters.count(VersionEvent.SOURCE_FALLBACK)
        return start(now, nextCall(), afterNumber, if (isReader) settings.watchWait else Duration.ZERO)
    }

    /**
     * Notes that the call [number] has ended.
     *
     * @return the moment at which the source still knew nothing newer, or null if the call was given up before
     */
    fun ended(number: Long, outcome: SourceOutcome): Duration? {
        val ended = call?.takeIf { it.number == number } ?: return null
        call = null
        val now = clock.now()
        if (outcome is SourceOutcome.Failed) {
            failed(now)
            return null
        }
        failures = 0
        fallbackAfter = nextFallbackAfter()
        notBefore = now
        return minOf(now, ended.startedAt + ended.wait)
    }

    /** Pauses after an outcome that was of no use, as after a failure. */
    fun pause() = failed(clock.now())

    private fun start(now: Duration, number: Long, afterNumber: Long?, wait: Duration): SourceEffect {
        if (afterNumber == null) {
            call = CallInFlight(number, now, Duration.ZERO)
            return SourceEffect.ReadNow(number, kind)
        }
        call = CallInFlight(number, now, wait)
        return SourceEffect.Watch(number, kind, afterNumber, wait)
    }

    private fun expireCall(now: Duration) {
        val pending = call ?: return
        if (now < pending.startedAt + pending.wait + settings.sourceCallTimeout) return
        call = null
        failed(now)
    }

    private fun failed(now: Duration) {
        counters.count(VersionEvent.SOURCE_FAILED)
        val ceiling = (FIRST_BACK_OFF * (1 shl failures.coerceAtMost(MAX_DOUBLINGS))).coerceAtMost(maxBackOff)
        failures++
        notBefore = now + FIRST_BACK_OFF / 2 + ceiling * random.nextDouble()
    }

    private fun nextFallbackAfter(): Duration = settings.fallbackAfter * (1.0 + random.nextDouble())

    private data class CallInFlight(
        val number: Long,
        val startedAt: Duration,
        val wait: Duration,
    )

    private companion object {
        val FIRST_BACK_OFF = 500.milliseconds
        val MAX_READER_BACK_OFF = 2.seconds
        val MAX_FALLBACK_BACK_OFF = 30.seconds
        val BUDGET_RETRY = 100.milliseconds
        const val MAX_DOUBLINGS = 6
    }
}
