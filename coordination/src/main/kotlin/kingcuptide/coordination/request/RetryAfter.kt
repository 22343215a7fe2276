package kingcuptide.coordination.request

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Bounds of the time that a caller is told to wait before it retries. */
public val RETRY_AFTER_RANGE: ClosedRange<Duration> = 1.seconds..30.seconds

/** Returns [expectedWait] times a random 0.5 to 1.5, plus up to one random second, within [RETRY_AFTER_RANGE]. */
public fun retryAfter(expectedWait: Duration, random: Random): Duration =
    (expectedWait * (0.5 + random.nextDouble()) + random.nextDouble().seconds).coerceIn(RETRY_AFTER_RANGE)
