package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock

/** The tokens of all limited workspaces at this host. At most one entry for each limit; not thread-safe. */
internal class QuotaPool(
    private val clock: Clock,
    val weights: QuotaWeights,
) {
    private val tokensByKey = LinkedHashMap<Int, QuotaTokens>()

    /** [QuotaWeights.filledSeconds] when the buckets were last empty. */
    private var emptyAt = 0.0
    private var hadShare = false

    var limits: Map<Int, QuotaLimit> = emptyMap()
        private set

    /** Workspaces for which a request or a child waits and no message has been sent yet. */
    val urgent = LinkedHashMap<Int, QuotaTokens>()

    /** Workspaces with tokens or recent demand. */
    val active: Collection<QuotaTokens> get() = tokensByKey.values

    /** Applies [changed] limits at once; returns what waits for a token of a workspace that has no limit any more. */
    fun configure(changed: Map<Int, QuotaLimit>): List<QuotaWaiter> {
        limits = changed
        val released = ArrayList<QuotaWaiter>()
        tokensByKey.values.removeIf { tokens ->
            val limit = changed[tokens.key]
            if (limit == null) released += tokens.waiters else tokens.change(limit, weights)
            if (limit == null) tokens.waiters.clear()
            limit == null
        }
        urgent.keys.retainAll(changed.keys)
        return released
    }

    /** Returns the tokens of the workspace [key], or null if it has no limit. */
    fun find(key: Int): QuotaTokens? {
        val limit = limits[key] ?: return null
        return tokensByKey.getOrPut(key) { QuotaTokens(key, limit, emptyAt) }
    }

    /** Takes up to [wanted] tokens, those that a lender granted first. */
    fun take(tokens: QuotaTokens, wanted: Int): Int {
        val held = tokens.takeHeld(wanted)
        return held + tokens.takeFilled(wanted - held, weights)
    }

    /** Puts unused tokens back. */
    fun putBack(tokens: QuotaTokens, count: Int) {
        if (weights.share > 0) tokens.refill(count, weights) else tokens.held += count
    }

    /** Drops all tokens. */
    fun dropAll() {
        weights.integrate()
        emptyAt = weights.filledSeconds
        tokensByKey.values.forEach { it.drop(weights) }
    }

    /** Determines the share again; a host that has none any more starts with empty buckets when it has one again. */
    fun refreshShare(isRoot: Boolean) {
        weights.refresh(isRoot)
        val hasShare = weights.share > 0
        if (hadShare && !hasShare) {
            emptyAt = weights.filledSeconds
            tokensByKey.values.forEach { it.emptyBucket(weights) }
        }
        hadShare = hasShare
    }

    /** Forgets workspaces without demand; buckets that fill are kept. */
    fun forgetIdle() {
        if (weights.share > 0) return
        val now = clock.now()
        tokensByKey.values.removeIf { it.isIdle(now) }
    }
}
