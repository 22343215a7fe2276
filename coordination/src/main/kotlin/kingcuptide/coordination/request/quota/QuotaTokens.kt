package kingcuptide.coordination.request.quota

import kotlin.math.ceil
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The tokens of one workspace at this host, and the demand for them. Not thread-safe. */
internal class QuotaTokens(
    val key: Int,
    limit: QuotaLimit,
    private var filledFrom: Double,
) {
    private var demand = 0.0
    private var demandAt = Duration.ZERO
    private var shortage = 0.0
    private var shortageAt = Duration.ZERO

    var limit: QuotaLimit = limit
        private set

    /** Tokens in the bucket, which fills while this host is a root lender. Negative if some were lent ahead. */
    var bucket = 0.0
        private set

    /**
     * Tokens that came back unused to a full bucket. It filled up while they were away, so a workspace without a burst
     * would lose a request for each of them.
     */
    private var surplus = 0.0

    /** Tokens that a lender has granted and that are not used yet. */
    var held = 0

    /** Tokens that were asked for in messages without reply. */
    var asked = 0

    /** Tokens that children lack whose asks wait for a reply. */
    var unmet = 0

    /** Tokens that children lack whose asks were answered, since the last message to the lender. */
    var lacking = 0

    /** When the lender expects to have room for more. */
    var roomAt: Duration = Duration.ZERO
        private set

    /** Until when requests are refused without another message to the lender. */
    var refusedUntil: Duration = Duration.ZERO
        private set
    val waiters = ArrayDeque<QuotaWaiter>()

    /** Changes the limit. After a cut, nothing that was granted under the previous limit may be spent. */
    fun change(changed: QuotaLimit, weights: QuotaWeights) {
        if (changed == limit) return
        fill(weights)
        if (changed.ratePerSecond < limit.ratePerSecond || changed.burst < limit.burst) held = 0
        limit = changed
        hasRoomIn(Duration.ZERO, Duration.ZERO)
        bucket = bucket.coerceAtMost(capacity(weights.share))
        surplus = 0.0
    }

    /** Drops all tokens, since others may have been spent in their place. */
    fun drop(weights: QuotaWeights) {
        held = 0
        emptyBucket(weights)
    }

    fun emptyBucket(weights: QuotaWeights) {
        bucket = 0.0
        surplus = 0.0
        filledFrom = weights.filledSeconds
    }

    /** Records that the lender expects room in [wait]; it may come earlier, from other lenders or returned tokens. */
    fun hasRoomIn(wait: Duration, now: Duration) {
        roomAt = now + wait
        refusedUntil = now + minOf(wait, QuotaUplink.REGULAR_INTERVAL)
    }

    /** Takes up to [wanted] tokens of those that a lender granted. */
    fun takeHeld(wanted: Int): Int = minOf(held, wanted).also { held -= it }

    /** Takes up to [wanted] tokens from the bucket. */
    fun takeFilled(wanted: Int, weights: QuotaWeights): Int {
        fill(weights)
        if (weights.share == 0.0) return 0
        val ahead = limit.ratePerSecond * weights.share * LENT_AHEAD.toDouble(DurationUnit.SECONDS)
        val taken = (bucket + surplus + ahead + ROUNDING_ERROR).toInt().coerceIn(0, wanted)
        val fromSurplus = minOf(surplus, taken.toDouble())
        surplus -= fromSurplus
        bucket -= taken - fromSurplus
        return taken
    }

    /** Puts [count] unused tokens back into the bucket. */
    fun refill(count: Int, weights: QuotaWeights) {
        fill(weights)
        val accepted = (capacity(weights.share) - bucket).coerceIn(0.0, count.toDouble())
        bucket += accepted
        surplus = (surplus + count - accepted).coerceAtMost(maxSurplus(weights.share))
    }

    fun recordDemand(count: Int, now: Duration) {
        demand = demandPerSecond(now) + count / DEMAND_TIME.toDouble(DurationUnit.SECONDS)
        demandAt = now
    }

    fun demandPerSecond(now: Duration): Double = demand * exp(-((now - demandAt) / DEMAND_TIME))

    fun recordShortage(count: Int, now: Duration) {
        shortage = recentShortage(now) + count
        shortageAt = now
    }

    private fun recentShortage(now: Duration): Double = shortage * exp(-((now - shortageAt) / SHORTAGE_TIME))

    /** Returns the time until the bucket has a token for one more after those that were recently asked for in vain. */
    fun timeUntilFilled(weights: QuotaWeights, now: Duration): Duration {
        val perSecond = limit.ratePerSecond * weights.share
        if (perSecond == 0.0) return QuotaWeights.LEASE
        val missing = recentShortage(now) + 1 - bucket - surplus
        return (1.seconds * (missing / perSecond)).coerceIn(Duration.ZERO, MAX_ROOM_IN)
    }

    /** Returns the tokens to hold for the demand until the next messages; no more than all hosts together may use then. */
    private fun target(now: Duration): Double =
        minOf(demandPerSecond(now), limit.ratePerSecond) * HELD_TIME.toDouble(DurationUnit.SECONDS)

    /** Returns the tokens to ask for now: for those who wait, and for expected demand once half of that is used. */
    fun wanted(now: Duration): Int {
        val target = target(now)
        val waiting = waiters.size + unmet + minOf(lacking, MIN_LACKING + target(now).toInt())
        val isLow = held + asked - waiting < target / 2
        val expected = if (isLow) (target + 0.5).toInt() else 0
        return (waiting + expected - held - asked).coerceIn(0, QuotaMessage.MAX_LISTED_TOKENS)
    }

    /** Returns the tokens that are held beyond the demand. */
    fun excess(
        now: Duration,
    ): Int = (held - waiters.size - ceil(target(now) * HELD_FACTOR - 0.5).toInt()).coerceAtLeast(0)

    fun isIdle(now: Duration): Boolean =
        held == 0 && asked == 0 && unmet == 0 && waiters.isEmpty() && demandPerSecond(now) < IDLE_PER_SECOND

    private fun fill(weights: QuotaWeights) {
        weights.integrate()
        val filled = (weights.filledSeconds - filledFrom) * limit.ratePerSecond
        filledFrom = weights.filledSeconds
        bucket = (bucket + filled).coerceAtMost(capacity(weights.share))
        surplus = surplus.coerceAtMost(maxSurplus(weights.share))
    }

    /** One token at least, so that sparse requests can pass, and what fills between two messages of the children. */
    private fun capacity(share: Double): Double {
        if (share == 0.0) return 0.0
        return maxOf(1.0, limit.burst * share) + filledBetweenMessages(share)
    }

    /** One token, or what fills between two messages of the children if that is more. */
    private fun maxSurplus(share: Double): Double = if (share == 0.0) 0.0 else maxOf(1.0, filledBetweenMessages(share))

    private fun filledBetweenMessages(share: Double): Double =
        limit.ratePerSecond * share * FILL_TIME.toDouble(DurationUnit.SECONDS)

    private companion object {
        /** Time over which demand is averaged. */
        val DEMAND_TIME = 1_000.milliseconds

        /** Time over which the tokens that children lack are counted, about one regular interval of their messages. */
        val SHORTAGE_TIME = 200.milliseconds

        /** Demand that is held in advance, twice the regular interval of messages. */
        val HELD_TIME = 400.milliseconds

        /** Tokens are returned if more than this multiple of the demand is held, so that they do not go back and forth. */
        const val HELD_FACTOR = 1.5

        /** Time for which a bucket fills beyond the burst; domain lenders ask at least as often. */
        val FILL_TIME = 200.milliseconds

        /** Tokens that a bucket lends before they are filled, which saves a request a second message. */
        val LENT_AHEAD = 50.milliseconds
        val MAX_ROOM_IN = 60_000.milliseconds

        /** Tokens that children may lack for which this host asks without having seen demand. */
        const val MIN_LACKING = 4
        const val IDLE_PER_SECOND = 0.02
        const val ROUNDING_ERROR = 1e-6
    }
}

/** A request that waits for a token until [until]. */
internal class QuotaWaiter(
    val until: Duration,
    val onDecision: (QuotaDecision) -> Unit,
)
