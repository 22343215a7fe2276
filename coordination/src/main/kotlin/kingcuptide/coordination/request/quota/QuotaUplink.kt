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
    private var sentWeight = 0
    private var stampedAt = Duration.ZERO
    private var lastSentAt = -URGENT_INTERVAL
    private var nextRegularAt = Duration.ZERO

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
        stamp = 0
        sentWeight = 0
    }

    /** Repeats late messages; returns a lender that has been silent for [SILENCE_TIMEOUT], or null. */
    fun checkReplies(): HostId? {
        val now = clock.now()
        val to = lender ?: return null
        if (inFlight.values.any { now - it.firstAt >= SILENCE_TIMEOUT }) return to
        for (sent in inFlight.values) {
            if (now - sent.lastAt < REPEAT_AFTER) continue
            sent.lastAt = now
            send(to, sent.ask)
        }
        return null
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
        lastNumber = (lastNumber + 1) % NUMBERS
        val weight = delegable(to)
        val echoed = if (weight == 0) 0 else stamp
        if (weight > 0) {
            pool.weights.delegated(to, stampedAt, isDomainLender)
            sentWeight = weight
            stamp = 0
        }
        val sparse = if (returned.all { it == 0 }) emptyList() else returned
        return QuotaMessage.Ask(lastNumber, echoed, weight, isDomainLender, isUrgent, keys, wanted, sparse)
    }

    /** Whether more weight can be delegated than the lender counts now. */
    private fun hasGrown(to: HostId): Boolean = stamp != 0 && delegable(to) > sentWeight

    private fun delegable(to: HostId): Int {
        val isFresh = stamp != 0 && clock.now() - stampedAt < pool.weights.leaseOf(isDomainLender)
        return if (isFresh) pool.weights.delegable(to, isDomainLender) else 0
    }

    /** Applies a reply of [from]; returns false if it answers no message in flight. */
    fun received(from: HostId, grant: QuotaMessage.Grant): Boolean {
        if (from != lender) return false
        val ask = inFlight[grant.number]?.ask ?: return false
        if (grant.granted.size != ask.keys.size ||
            (grant.roomInMs.isNotEmpty() && grant.roomInMs.size != ask.keys.size)
        ) {
            return false
        }
        inFlight.remove(grant.number)
        forget(ask)
        val now = clock.now()
        if (grant.stamp != 0) {
            stamp = grant.stamp
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

        /** Time without a reply after which another lender is used. */
        private val SILENCE_TIMEOUT = 400.milliseconds

        /** Numbers of one byte on the wire, and several times as many as are in flight. */
        const val NUMBERS = 24
    }
}
