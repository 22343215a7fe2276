package kingcuptide.coordination.connection

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of a request connection; both ends use the same.
 *
 * @property maxRequests requests in flight on one connection
 * @property windowBytes bytes of one body that may be in transit or buffered, in each direction
 * @property maxTimestampAge how long the entry may estimate the gate's clock from one timestamp; bounds clock drift
 * @property maxTransitTime age beyond which the gate refuses a request head as stale
 * @property maxClockLead how far the entry's estimate may be ahead of the gate's clock because of drift
 */
public data class ConnectionSettings(
    val maxRequests: Int = 256,
    val windowBytes: Int = 64 * 1024,
    val maxTimestampAge: Duration = 30.seconds,
    val maxTransitTime: Duration = 1.seconds,
    val maxClockLead: Duration = 100.milliseconds,
)
