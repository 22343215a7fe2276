package kingcuptide.coordination.connection

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of a request connection, alike at both ends.
 *
 * @property maxRequests requests in flight on one connection
 * @property windowBytes bytes of one body that may be under way or buffered, each way
 * @property maxStampAge how long the entry estimates the gate's clock from one stamp; bounds the drift
 * @property maxTransit how long a head may have been under way before the gate refuses it
 * @property maxClockLead how far the entry's estimate may be ahead of the gate's clock through drift
 */
public data class ConnectionSettings(
    val maxRequests: Int = 256,
    val windowBytes: Int = 64 * 1024,
    val maxStampAge: Duration = 30.seconds,
    val maxTransit: Duration = 1.seconds,
    val maxClockLead: Duration = 100.milliseconds,
)
