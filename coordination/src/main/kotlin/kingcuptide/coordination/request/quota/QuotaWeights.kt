package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kotlin.time.Duration
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
) {
    private val children = HashMap<HostId, QuotaChild>()
    private var delegatedTo: HostId? = null

    /** A previous incarnation may have delegated the weight of this host. */
    private var delegatedUntil = clock.now() + CHAIN_LEASE
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
    val hasLeafChildren: Boolean get() = children.values.any { !it.isDomainLender }

    /** Returns the record of [host], or null if there are too many. */
    fun child(host: HostId): QuotaChild? {
        val known = children[host]
        if (known == null && children.size >= MAX_CHILDREN) return null
        return (known ?: QuotaChild().also { children[host] = it }).also { it.forgetAt = clock.now() + FORGET_AFTER }
    }

    /** Advances [filledSeconds] to now. A gap longer than [MAX_STEP] is a pause, in which leases may have ended. */
    fun integrate() {
        val now = clock.now()
        filledSeconds += share * minOf(now - integratedAt, MAX_STEP).toDouble(DurationUnit.SECONDS)
        integratedAt = now
    }

    /** Ends leases, and determines [share] from those that are left and from whether this host [isRoot] in its view. */
    fun refresh(isRoot: Boolean) {
        integrate()
        val now = clock.now()
        children.values.removeIf { it.forgetAt <= now }
        children.values.forEach { if (it.weightUntil <= now) it.weight = 0 }
        val ownsLeaves = isRoot && now >= delegatedUntil
        val weight = children.values.sumOf { if (it.isDomainLender || ownsLeaves) it.weight else 0 }
        share = ((weight + if (ownsLeaves) OWN_WEIGHT else 0).toDouble() / hosts).coerceAtMost(1.0)
    }

    /** Returns the time for which a weight counts that a host delegates, from the stamp that it sends back. */
    fun leaseOf(isDomainLender: Boolean): Duration = if (isDomainLender) ROOT_LEASE else LEASE

    /** Returns the weight to delegate to [parent], or 0 while another host may still count it. */
    fun delegable(parent: HostId, isDomainLender: Boolean): Int {
        if (delegatedTo != parent && clock.now() < delegatedUntil) return 0
        val leaves = if (isDomainLender) children.values.sumOf { if (it.isDomainLender) 0 else it.weight } else 0
        return leaves + OWN_WEIGHT
    }

    /** Records a delegation to [parent], which counts the lease from a time that is not after [stampedAt]. */
    fun delegated(parent: HostId, stampedAt: Duration, isDomainLender: Boolean) {
        delegatedTo = parent
        val until = stampedAt + if (isDomainLender) ROOT_LEASE + LEASE_MARGIN else CHAIN_LEASE
        delegatedUntil = maxOf(delegatedUntil, until)
    }

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

        /** Longest time between two ticks that is not a pause. */
        val MAX_STEP: Duration = 500.milliseconds

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
