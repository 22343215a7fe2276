package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Answers the asks of other hosts from the tokens of this one. An urgent ask that finds too few waits for those that this
 * host asks its own lender for. Not thread-safe.
 */
internal class QuotaLender(
    private val clock: Clock,
    private val pool: QuotaPool,
    private val send: (HostId, QuotaMessage) -> Unit,
    private val stampOffsetMs: Int,
) {
    private val deferred = ArrayDeque<Deferred>()
    private val releases = QuotaReleases(clock, pool.weights, send)

    /** Whether this host gets its tokens from another. */
    var hasLender = false

    /** Whether other hosts wait for an answer of this one. */
    val isPending: Boolean get() = deferred.isNotEmpty() || releases.isPending

    fun received(from: HostId, ask: QuotaMessage.Ask) {
        if (!ask.isValid()) return
        val child = pool.weights.child(from) ?: return
        if (ask.weight == QuotaMessage.RELEASED) return release(from, child, ask)
        val known = child.replyTo(ask)
        if (known != null) return send(from, known)
        if (deferred.any { it.from == from && it.ask == ask }) return
        extendLease(child, ask)
        ask.returned.forEachIndexed { index, count ->
            if (count > 0) pool.find(ask.keys[index])?.let { pool.putBack(it, count) }
        }
        val entry = Deferred(from, child, ask, clock.now() + MAX_DEFERRAL)
        take(entry, isFirst = true)
        if (mustWait(entry)) defer(entry) else reply(entry)
    }

    private fun release(from: HostId, child: QuotaChild, ask: QuotaMessage.Ask) {
        releases.add(from, child, ask.number)
        pool.refreshShare(isRoot = !hasLender)
        releases.confirm()
    }

    /** Answers the asks for which tokens have arrived or for which none are under way. */
    fun serveDeferred() {
        releases.confirm()
        if (deferred.isEmpty()) return
        val now = clock.now()
        val entries = deferred.toList()
        deferred.clear()
        for (entry in entries) {
            entry.forEachShort { tokens, count -> tokens.unmet = maxOf(0, tokens.unmet - count) }
            take(entry, isFirst = false)
            if (now < entry.until && mustWait(entry)) defer(entry) else reply(entry)
        }
    }

    private fun defer(entry: Deferred) {
        if (deferred.size >= MAX_DEFERRED) return reply(entry)
        deferred += entry
        entry.forEachShort { tokens, count ->
            tokens.unmet += count
            pool.urgent[tokens.key] = tokens
        }
    }

    private fun mustWait(entry: Deferred): Boolean {
        if (!hasLender || !entry.ask.isUrgent || entry.ask.isDomainLender) return false
        val now = clock.now()
        var isShort = false
        entry.forEachShort { tokens, _ -> if (tokens.refusedUntil - now <= MAX_DEFERRAL) isShort = true }
        return isShort
    }

    private fun extendLease(child: QuotaChild, ask: QuotaMessage.Ask) {
        if (child.isDomainLender != ask.isDomainLender) child.weight = 0
        child.isDomainLender = ask.isDomainLender
        if (ask.stamp == 0) return
        val ageMs = (stampOf(clock.now()) - ask.stamp) and Int.MAX_VALUE
        val lease = pool.weights.leaseOf(ask.isDomainLender)
        val stampMs = clock.now().inWholeMilliseconds - ageMs
        if (ageMs >= lease.inWholeMilliseconds || stampMs < child.weightStampMs) return
        child.weightStampMs = stampMs
        child.releasedAt = null
        child.weight = ask.weight
        child.weightUntil = clock.now() - ageMs.milliseconds + lease
    }

    private fun take(entry: Deferred, isFirst: Boolean) {
        val now = clock.now()
        entry.ask.keys.forEachIndexed { index, key ->
            val tokens = pool.find(key) ?: return@forEachIndexed
            val wanted = entry.ask.wanted[index] - entry.granted[index]
            if (wanted == 0) return@forEachIndexed
            val isOwnBucketOnly = entry.ask.isDomainLender && hasLender
            val taken =
                if (isOwnBucketOnly) tokens.takeFilled(wanted, pool.weights) else pool.take(tokens, wanted)
            entry.granted[index] += taken
            tokens.recordDemand(taken, now)
            if (isFirst && taken < wanted) tokens.recordShortage(wanted - taken, now)
        }
    }

    private fun reply(entry: Deferred) {
        val now = clock.now()
        val rooms = entry.ask.keys.mapIndexed { index, key ->
            val tokens = pool.find(key)
            val short = entry.ask.wanted[index] - entry.granted[index]
            if (tokens != null && short > 0) tokens.lacking += short
            if (tokens == null || short <= 0) 0 else roomInMs(tokens, now)
        }
        val lastStamp = entry.child.stampedAt
        val needsStamp = lastStamp == null || entry.ask.isDomainLender || now - lastStamp >= STAMP_INTERVAL
        val stampedAt = if (lastStamp == null) now else maxOf(now, lastStamp + STAMP_STEP)
        if (needsStamp) entry.child.stampedAt = stampedAt
        val stamp = if (needsStamp) stampOf(stampedAt) else 0
        val isShort = rooms.any { it > 0 }
        val grant =
            QuotaMessage.Grant(entry.ask.number, stamp, entry.granted.toList(), if (isShort) rooms else emptyList())
        entry.child.replied(entry.ask, grant)
        send(entry.from, grant)
    }

    private fun roomInMs(tokens: QuotaTokens, now: Duration): Int {
        val wait = if (pool.weights.share > 0) tokens.timeUntilFilled(pool.weights, now) else tokens.roomAt - now
        return wait.inWholeMilliseconds.toInt().coerceAtLeast(1)
    }

    /** Returns [now] in milliseconds since an origin that differs by incarnation; never 0. */
    private fun stampOf(now: Duration): Int =
        ((now.inWholeMilliseconds + stampOffsetMs).toInt() and Int.MAX_VALUE).coerceAtLeast(1)

    private inner class Deferred(
        val from: HostId,
        val child: QuotaChild,
        val ask: QuotaMessage.Ask,
        val until: Duration,
    ) {
        val granted = IntArray(ask.keys.size)

        fun forEachShort(action: (QuotaTokens, Int) -> Unit) {
            ask.keys.forEachIndexed { index, key ->
                val count = ask.wanted[index] - granted[index]
                if (count > 0) pool.find(key)?.let { action(it, count) }
            }
        }
    }

    private companion object {
        /** Longest time for which an urgent ask waits; less than a request waits at its host. */
        val MAX_DEFERRAL = 80.milliseconds

        /** Time after which a host that lends to no other gets a new stamp, so that not every message carries one. */
        val STAMP_INTERVAL = 150.milliseconds

        /** No child gets the same stamp twice, so that its messages have an order. */
        val STAMP_STEP = 1.milliseconds
        const val MAX_DEFERRED = 1_024
    }
}
