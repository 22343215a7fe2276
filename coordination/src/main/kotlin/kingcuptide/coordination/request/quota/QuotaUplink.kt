package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The messages of one host to its present lender: numbered, repeated when a reply is late, and dropped when the lender is
 * silent. Not thread-safe.
 */
internal class QuotaUplink(
    private val clock: Clock,
    private val pool: QuotaPool,
    private val send: (HostId, QuotaMessage) -> Unit,
    private var lastNumber: Int,
) {
    private val inFlight = LinkedHashMap<Int, Sent>()
    private var lender: HostId? = null
    private var isDomainLender = false
    private var stamp = 0
    private var latestStamp = 0
    private var sentWeight = 0
    private var stampedAt = Duration.ZERO
    private var unansweredFor = Duration.ZERO
    private var checkedAt = clock.now()
    private var releaseNumber = 0
    private var releaseTo: HostId? = null
    private var releaseSentAt = Duration.ZERO
    private var lastSentAt = -URGENT_INTERVAL
    private var nextRegularAt = Duration.ZERO

    /** Whether a lender has not yet answered a message of this host. */
    val isPending: Boolean get() = inFlight.isNotEmpty() || releaseTo != null

    /** Sends to [lender] from now on; messages to another that have no reply yet are given up. */
    fun connect(lender: HostId?, isDomainLender: Boolean) {
        if (lender == this.lender && isDomainLender == this.isDomainLender) return
        this.lender = lender
        this.isDomainLender = isDomainLender
        giveUp()
        nextRegularAt = clock.now()
    }

    /** Gives up the messages in flight: tokens in a later reply to them are not used. */
    fun giveUp() {
        inFlight.values.forEach { forget(it.ask) }
        inFlight.clear()
        unansweredFor = Duration.ZERO
        stamp = 0
        latestStamp = 0
        sentWeight = 0
    }

    /**
     * Repeats late messages; returns a lender that has been silent for [SILENCE_TIMEOUT], or null. Time in which this host
     * itself was late does not count, since replies may have arrived that it has not handled yet.
     */
    fun checkReplies(): HostId? {
        val now = clock.now()
        val step = minOf(now - checkedAt, MAX_COUNTED_STEP)
        checkedAt = now
        release(now)
        val to = lender ?: return null
        unansweredFor = if (inFlight.isEmpty()) Duration.ZERO else unansweredFor + step
        if (unansweredFor >= SILENCE_TIMEOUT) return to
        for (sent in inFlight.values) {
            if (now - sent.lastAt < sent.repeatAfter) continue
            sent.lastAt = now
            sent.repeatAfter = minOf(sent.repeatAfter * 2, MAX_REPEAT_AFTER)
            send(to, sent.ask)
        }
        return null
    }

    /** Asks a previous lender to stop counting the weight of this host, so that its lease need not end. */
    private fun release(now: Duration) {
        val isElsewhere = pool.weights.isDelegated && !pool.weights.isDelegatedTo(lender, isDomainLender)
        val holder = pool.weights.delegatedTo?.takeIf { isElsewhere }
        if (holder == null || (holder == releaseTo && now - releaseSentAt < RELEASE_INTERVAL)) {
            if (holder == null) releaseTo = null
            return
        }
        if (holder != releaseTo) releaseNumber = nextNumber()
        releaseTo = holder
        releaseSentAt = now
        val none = emptyList<Int>()
        send(holder, QuotaMessage.Ask(releaseNumber, 0, QuotaMessage.RELEASED, isDomainLender, false, none, none, none))
    }

    private fun nextNumber(): Int {
        lastNumber = (lastNumber + 1) % NUMBERS
        return lastNumber
    }

    /** Sends a message if one is due, or if one is urgent and the last one is not too recent. */
    fun flush() {
        val to = lender ?: return
        val now = clock.now()
        if (inFlight.size >= MAX_IN_FLIGHT) return
        val isRegular = now >= nextRegularAt || hasGrown(to)
        pool.urgent.values.removeIf { it.wanted(now) == 0 }
        val isUrgent = pool.urgent.isNotEmpty()
        if (!isRegular && (!isUrgent || now < lastSentAt + URGENT_INTERVAL)) return
        if (isRegular) {
            nextRegularAt = now + if (isDomainLender) LENDER_INTERVAL else REGULAR_INTERVAL
            pool.forgetIdle()
        }
        val ask = askTo(to, if (isRegular) pool.active else pool.urgent.values, isUrgent, isRegular)
        pool.urgent.clear()
        lastSentAt = now
        inFlight[ask.number] = Sent(ask, now)
        send(to, ask)
    }

    private fun askTo(
        to: HostId,
        candidates: Collection<QuotaTokens>,
        isUrgent: Boolean,
        canReturn: Boolean,
    ): QuotaMessage.Ask {
        val now = clock.now()
        val keys = ArrayList<Int>()
        val wanted = ArrayList<Int>()
        val returned = ArrayList<Int>()
        for (tokens in candidates) {
            if (keys.size == QuotaMessage.MAX_LISTED_WORKSPACES) break
            val missing = tokens.wanted(now)
            tokens.lacking = 0
            val excess = if (canReturn && missing == 0) tokens.excess(now) else 0
            if (missing == 0 && excess == 0) continue
            tokens.asked += missing
            tokens.held -= excess
            keys += tokens.key
            wanted += missing
            returned += excess
        }
        val number = nextNumber()
        val weight = delegable(to)
        val echoed = if (weight == 0) 0 else stamp
        if (weight > 0) {
            pool.weights.delegated(to, stampedAt, isDomainLender)
            sentWeight = weight
            stamp = 0
        }
        val sparse = if (returned.all { it == 0 }) emptyList() else returned
        return QuotaMessage.Ask(number, echoed, weight, isDomainLender, isUrgent, keys, wanted, sparse)
    }

    /** Whether more weight can be delegated than the lender counts now. */
    private fun hasGrown(to: HostId): Boolean = stamp != 0 && delegable(to) > sentWeight

    private fun delegable(to: HostId): Int {
        val isFresh = stamp != 0 && clock.now() - stampedAt < pool.weights.leaseOf(isDomainLender)
        return if (isFresh) pool.weights.delegable(to, isDomainLender) else 0
    }

    /** Applies a reply of [from]; returns false if it answers no message in flight. */
    fun received(from: HostId, grant: QuotaMessage.Grant): Boolean {
        if (from == releaseTo && grant.number == releaseNumber) {
            releaseTo = null
            pool.weights.released()
            return true
        }
        if (from != lender) return false
        val sent = inFlight[grant.number] ?: return false
        val ask = sent.ask
        if (grant.granted.size != ask.keys.size ||
            (grant.roomInMs.isNotEmpty() && grant.roomInMs.size != ask.keys.size)
        ) {
            return false
        }
        inFlight.remove(grant.number)
        unansweredFor = Duration.ZERO
        if (ask.stamp != 0) pool.weights.confirmed(sent.firstAt)
        forget(ask)
        val now = clock.now()
        if (grant.stamp != 0 && !isOvertaken(grant.stamp)) {
            stamp = grant.stamp
            latestStamp = stamp
            stampedAt = now
        }
        ask.keys.forEachIndexed { index, key ->
            val tokens = pool.find(key) ?: return@forEachIndexed
            tokens.held += grant.granted[index].coerceIn(0, ask.wanted[index])
            val roomInMs = grant.roomInMs.getOrElse(index) { 0 }.coerceAtLeast(0)
            tokens.hasRoomIn(roomInMs.milliseconds, now)
        }
        return true
    }

    /** Whether a later stamp of the lender has arrived: a message with this one would count as late there. */
    private fun isOvertaken(received: Int): Boolean =
        latestStamp != 0 && ((latestStamp - received) and Int.MAX_VALUE) in 1..OVERTAKEN_MS

    private fun forget(ask: QuotaMessage.Ask) {
        ask.keys.forEachIndexed {
            index,
            key,
            ->
            pool.find(key)?.let { it.asked = maxOf(0, it.asked - ask.wanted[index]) }
        }
    }

    private class Sent(
        val ask: QuotaMessage.Ask,
        val firstAt: Duration,
    ) {
        var lastAt = firstAt
        var repeatAfter = REPEAT_AFTER
    }

    companion object {
        /** Messages without reply; a reply may wait at a domain lender for the root's. */
        const val MAX_IN_FLIGHT = 4

        /** Interval of messages that renew the lease and list expected demand. */
        val REGULAR_INTERVAL: Duration = 200.milliseconds

        /** Like [REGULAR_INTERVAL], for a host that lends to others; there are few of them. */
        private val LENDER_INTERVAL = 100.milliseconds

        /** Shortest time before a message for requests that wait. */
        private val URGENT_INTERVAL = 20.milliseconds

        /** Longer than a reply takes between regions, so that a lost message is repeated while its requests wait. */
        private val REPEAT_AFTER = 30.milliseconds

        /** Repeats become rarer, so that a lender that is late does not get more to do. */
        private val MAX_REPEAT_AFTER = 120.milliseconds

        /** Time without any reply after which another lender is used. */
        private val SILENCE_TIMEOUT = 400.milliseconds

        /** Time between two ticks beyond which this host was late itself. */
        private val MAX_COUNTED_STEP = 40.milliseconds

        /** A stamp that is older by more is of another incarnation of the lender, whose clock has another origin. */
        private const val OVERTAKEN_MS = 2_000

        /** Interval of messages to a previous lender; longer than a reply takes between regions. */
        private val RELEASE_INTERVAL = 60.milliseconds

        /** Numbers of one byte on the wire, and several times as many as are in flight. */
        const val NUMBERS = 24
    }
}
