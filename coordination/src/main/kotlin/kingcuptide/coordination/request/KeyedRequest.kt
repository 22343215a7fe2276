package kingcuptide.coordination.request

import kingcuptide.coordination.process.RegionId
import kotlin.time.Duration

/**
 * A non-repeatable request with an idempotency key that is about to run at this gate.
 *
 * @property keyHash the digest that [keyHash] gives
 * @property homeRegions the regions that the request may touch; empty means any
 * @property deadline when the request must be over, on this daemon's clock
 */
public data class KeyedRequest(
    val keyHash: String,
    val homeRegions: Set<RegionId>,
    val deadline: Duration,
)
