package kingcuptide.coordination.version

import kingcuptide.coordination.process.Clock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when this daemon reads one resource from the platform.
 *
 * A daemon with the reader role keeps one long-polling watch open. Any other daemon reads only if it has no content, or
 * if it has received no confirmation for a long time. Failed calls are retried with exponential backoff and jitter, and
 * every call needs a token of [budget]. Not thread-safe.
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
     * @param afterNumber the greatest version number that the daemon has or has rejected, or null if there is none
     * @param confirmedAge time since the last confirmation, or since the start of the daemon if there was none
     * @param nextCall returns the number for the call
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
            notBefore = now + BUDGET_RETRY_DELAY
            return null
        }
        counters.count(VersionEvent.SOURCE_CALL)
        if (isFallback) counters.count(VersionEvent.SOURCE_FALLBACK)
        return startCall(now, nextCall(), afterNumber, if (isReader) settings.watchTimeout else Duration.ZERO)
    }

    /**
     * Records the [outcome] of the call [number].
     *
     * @return the time at which the source still had no newer version; null if the call failed or had timed out before
     */
    fun recordOutcome(number: Long, outcome: SourceOutcome): Duration? {
        val endedCall = call?.takeIf { it.number == number } ?: return null
        call = null
        val now = clock.now()
        if (outcome is SourceOutcome.Failed) {
            recordFailure(now)
            return null
        }
        failures = 0
        fallbackAfter = nextFallbackAfter()
        notBefore = now
        return minOf(now, endedCall.startedAt + endedCall.wait)
    }

    /** Backs off after an unusable outcome, as after a failure. */
    fun backOff() = recordFailure(clock.now())

    private fun startCall(now: Duration, number: Long, afterNumber: Long?, wait: Duration): SourceEffect {
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
        recordFailure(now)
    }

    private fun recordFailure(now: Duration) {
        counters.count(VersionEvent.SOURCE_FAILED)
        val ceiling = (FIRST_BACK_OFF * (1 shl failures.coerceAtMost(MAX_BACK_OFF_DOUBLINGS))).coerceAtMost(maxBackOff)
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
        val BUDGET_RETRY_DELAY = 100.milliseconds
        const val MAX_BACK_OFF_DOUBLINGS = 6
    }
}
