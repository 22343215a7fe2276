package kingcuptide.coordination.request

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Shortest and longest time that a caller is told to stay away. */
public val RETRY_AFTER_RANGE: ClosedRange<Duration> = 1.seconds..30.seconds

/** Returns [estimate] spread by chance over its half to its one and a half, within [RETRY_AFTER_RANGE]. */
public fun retryAfter(estimate: Duration, random: Random): Duration =
    (estimate * (0.5 + random.nextDouble()) + random.nextDouble().seconds).coerceIn(RETRY_AFTER_RANGE)
