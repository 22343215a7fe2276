package kingcuptide.coordination.request

import kingcuptide.coordination.process.RegionId
import kotlin.time.Duration

/**
 * A non-idempotent request with an idempotency key that is about to run at this gate.
 *
 * @property keyHash the digest that [keyHash] gives
 * @property homeRegions the regions that may handle the request; empty means any
 * @property deadline time by which the request must have ended, on this daemon's clock
 */
public data class KeyedRequest(
    val keyHash: String,
    val homeRegions: Set<RegionId>,
    val deadline: Duration,
)
