package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The weights that this host may spend: its own unless it is delegated, and those that others delegate to it.
 *
 * Each host owns the weight 1. A lease counts from a time of the lender's own clock that the child has sent back, so a
 * message that is late, even by minutes, never extends it. Not thread-safe.
 */
internal class QuotaWeights(
    private val clock: Clock,
    processAge: Duration = Duration.ZERO,
) {
    private val children = HashMap<HostId, QuotaChild>()

    /** The host that may count the weight of this one until [delegatedUntil]. */
    var delegatedTo: HostId? = null
        private set
    private var delegatedAsLender = false

    /** A previous incarnation may have delegated the weight of this host, until the present process started. */
    private var delegatedUntil = clock.now() + CHAIN_LEASE - processAge

    /** When the latest message was sent with which [delegatedTo] has replaced the weight that it counts. */
    private var confirmedAt = -CHAIN_LEASE
    private var ownsLeaves = false
    private var integratedAt = clock.now()

    /** Number of hosts among which each quota is divided. */
    var hosts: Int = 1

    /** Part of each quota with which the buckets of this host fill, from 0 to 1. */
    var share: Double = 0.0
        private set

    /** Sum of [share] over time, in seconds. */
    var filledSeconds: Double = 0.0
        private set

    /**
     * Whether hosts that lend to no other have lately asked this one for tokens, whatever their weight, so that this host
     * keeps its role while their leases lapse.
     */
    val hasLeafChildren: Boolean get() = children.values.any { !it.isDomainLender && it.releasedAt == null }

    /** Whether another host may count the weight of this one. */
    val isDelegated: Boolean get() = clock.now() < delegatedUntil

    /** Returns the record of [host], or null if there are too many. */
    fun child(host: HostId): QuotaChild? {
        val known = children[host]
        if (known == null && children.size >= MAX_CHILDREN) return null
        return (known ?: QuotaChild().also { children[host] = it }).also { it.forgetAt = clock.now() + FORGET_AFTER }
    }

    /** Advances [filledSeconds] to now. In a long gap the leases of the children may have ended. */
    fun integrate() {
        val now = clock.now()
        val gap = now - integratedAt
        if (share > 0) filledSeconds += if (gap > MAX_EVEN_GAP) filledSince(integratedAt, now) else share * seconds(gap)
        integratedAt = now
    }

    private fun filledSince(from: Duration, now: Duration): Double {
        val byChildren = counted().sumOf { child ->
            val counts = minOf(now, child.weightUntil) - from
            child.weight * seconds(counts.coerceAtLeast(ZERO))
        }
        val byItself = if (ownsLeaves) OWN_WEIGHT * seconds(now - from) else 0.0
        return ((byChildren + byItself) / hosts).coerceAtMost(seconds(now - from))
    }

    private fun seconds(duration: Duration) = duration.toDouble(DurationUnit.SECONDS)

    /** Part of each quota that this host may spend now, also if it is late with [refresh]. */
    fun currentShare(): Double {
        val now = clock.now()
        val weight = counted().sumOf { if (it.weightUntil > now) it.weight else 0 }
        return ((weight + if (ownsLeaves) OWN_WEIGHT else 0).toDouble() / hosts).coerceAtMost(1.0)
    }

    private fun counted() = children.values.filter { it.isDomainLender || ownsLeaves }

    /** Ends leases, and determines [share] from those that are left and from whether this host [isRoot] in its view. */
    fun refresh(isRoot: Boolean) {
        integrate()
        val now = clock.now()
        children.values.removeIf { it.forgetAt <= now }
        children.values.forEach { if (it.weightUntil <= now) it.weight = 0 }
        ownsLeaves = isRoot && now >= delegatedUntil
        share = currentShare()
    }

    /** Returns the time for which a weight counts that a host delegates, from the stamp that it sends back. */
    fun leaseOf(isDomainLender: Boolean): Duration = if (isDomainLender) ROOT_LEASE else LEASE

    /** Whether the weight was last delegated to [parent] in this role; a lender counts it differently in the other. */
    fun isDelegatedTo(parent: HostId?, isDomainLender: Boolean): Boolean =
        delegatedTo == parent && delegatedAsLender == isDomainLender

    /** Returns the weight to delegate to [parent], or 0 while another host may still count it. */
    fun delegable(parent: HostId, isDomainLender: Boolean): Int {
        if (isDelegated && !isDelegatedTo(parent, isDomainLender)) return 0
        val leaves = if (isDomainLender) children.values.sumOf { if (it.isDomainLender) 0 else it.weight } else 0
        return leaves + OWN_WEIGHT
    }

    /** Records a delegation to [parent], which counts the lease from a time that is not after [stampedAt]. */
    fun delegated(parent: HostId, stampedAt: Duration, isDomainLender: Boolean) {
        if (delegatedTo != parent) confirmedAt = -CHAIN_LEASE
        delegatedTo = parent
        delegatedAsLender = isDomainLender
        val until = stampedAt + if (isDomainLender) ROOT_LEASE + LEASE_MARGIN else CHAIN_LEASE
        delegatedUntil = maxOf(delegatedUntil, until)
    }

    /** Records that the lender counts the weight of a message of [sentAt], and none of an earlier one any more. */
    fun confirmed(sentAt: Duration) {
        confirmedAt = maxOf(confirmedAt, sentAt)
    }

    /** Records that the host to which the weight was delegated does not count it any more. */
    fun released() {
        delegatedTo = null
        delegatedUntil = clock.now()
    }

    /** Whether a weight that was taken from this host at [since] is counted neither here nor at its lender. */
    fun isWithdrawn(since: Duration): Boolean = !isDelegated || confirmedAt > since

    companion object {
        private const val OWN_WEIGHT = 1

        /** Time for which a domain lender counts a weight. Each message renews it; one may be lost. */
        val LEASE: Duration = 600.milliseconds

        /** Time for which a root lender counts the weight of a domain lender, which sends twice as often. */
        val ROOT_LEASE: Duration = 400.milliseconds

        /** Allows for clocks that run at slightly different speeds. */
        private val LEASE_MARGIN = 20.milliseconds

        /** A domain lender may pass a weight on until its lease ends, and the root counts it for one more lease. */
        val CHAIN_LEASE: Duration = LEASE + ROOT_LEASE + LEASE_MARGIN

        /**
         * Longest time between two ticks that is not a pause. Hosts with a small share of a core are often late by
         * 0.5 s; what they hold is less than half a second of the rate, which rule QUOTA allows.
         */
        val MAX_STEP: Duration = 1_000.milliseconds

        /** Longest time for which a lease that ends within it makes little difference; two ticks. */
        private val MAX_EVEN_GAP = 40.milliseconds

        /** Time after the last message of a child after which its replies need not be repeated. */
        private val FORGET_AFTER = 3_000.milliseconds

        /** Largest number of hosts to which one lends. */
        const val MAX_CHILDREN = 2_048
    }
}

/** What a lender knows of one host that gets tokens from it. */
internal class QuotaChild {
    var weight = 0
    var weightUntil: Duration = Duration.ZERO

    /** Time of the stamp from which [weight] counts, in milliseconds; a message with an earlier one is late. */
    var weightStampMs = Long.MIN_VALUE

    /** When the child has withdrawn its weight, until it delegates again. */
    var releasedAt: Duration? = null
    var isDomainLender = false
    var stampedAt: Duration? = null
    var forgetAt: Duration = Duration.ZERO

    /** Recent asks with their replies, since an ask is repeated when its reply is lost. */
    private val replies = ArrayDeque<Pair<QuotaMessage.Ask, QuotaMessage.Grant>>()

    /** Returns the reply that [ask] has had, or null. */
    fun replyTo(ask: QuotaMessage.Ask): QuotaMessage.Grant? = replies.firstOrNull { it.first == ask }?.second

    /** Keeps the reply to [ask]. */
    fun replied(ask: QuotaMessage.Ask, grant: QuotaMessage.Grant) {
        replies += ask to grant
        if (replies.size > MAX_REPLIES) replies.removeFirst()
    }

    private companion object {
        /** Twice as many as a child has in flight. */
        const val MAX_REPLIES = 2 * QuotaUplink.MAX_IN_FLIGHT
    }
}
