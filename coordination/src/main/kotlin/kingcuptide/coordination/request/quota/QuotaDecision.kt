package kingcuptide.coordination.request.quota

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Whether a request is within the quota of its workspace. */
public sealed interface QuotaDecision {
    /** The request may be sent; it has used one token if its workspace has a limit. */
    public data object Allowed : QuotaDecision

    /** The request must not be sent. There is room for another in about [roomIn]; [left] tokens are at this host. */
    public data class Refused(
        val roomIn: Duration,
        val left: Int,
    ) : QuotaDecision
}

/** A request that waits for a decision. */
public fun interface QuotaTicket {
    /** Gives the request up: its caller has left. */
    public fun cancel()
}

/** Returns the time after which a refused caller should retry: [roomIn] plus a random spread of at least as much. */
public fun quotaRetryAfter(roomIn: Duration, random: Random): Duration {
    val wait = roomIn.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    return wait + maxOf(wait, MIN_SPREAD) * random.nextDouble()
}

private val MIN_RETRY_AFTER = 10.milliseconds
private val MAX_RETRY_AFTER = 30_000.milliseconds

/** Refused callers of one instant come back over this time at least. */
private val MIN_SPREAD = 200.milliseconds
