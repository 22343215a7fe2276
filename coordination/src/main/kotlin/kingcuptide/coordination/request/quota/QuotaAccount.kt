package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides at one host whether a request is within the quota of its workspace over all hosts.
 *
 * Every host owns an equal part of each quota and delegates it for a lease to the lender that [tree] determines; tokens
 * come back by demand. All state is in memory. Messages go out by [send], which may lose them. Not thread-safe.
 *
 * @param processAge time since this process started, in which no previous one of this host was running any more
 */
public class QuotaAccount(
    private val self: HostId,
    private val clock: Clock,
    private val tree: QuotaTree,
    random: Random,
    processAge: Duration = Duration.ZERO,
    private val onLenderChanged: (QuotaLenderChange) -> Unit = {},
    send: (HostId, QuotaMessage) -> Unit,
) {
    private val weights = QuotaWeights(clock, processAge)
    private val pool = QuotaPool(clock, weights)
    private val uplink = QuotaUplink(clock, pool, send, random.nextInt(QuotaUplink.NUMBERS))
    private val lender = QuotaLender(clock, pool, send, random.nextInt())
    private val waiting = ArrayList<QuotaTokens>()
    private var tickedAt = clock.now()

    /** Interval in which the next tick is expected. */
    private var tickInterval = TICK_INTERVAL

    /** Until when no request is refused for its time: this host was late, and what came meanwhile is handled first. */
    private var lateUntil = tickedAt

    /** Until when the part of this host is being moved to a new lender, by several messages. */
    private var settledAt = tickedAt + SETTLING_TIME
    private var isConnected = false
    private var connectedTo: HostId? = null
    private var wasDomainLender = false

    /** Whether any workspace has a limit; without limits there is nothing to do and no message is sent. */
    public val isNeeded: Boolean get() = pool.limits.isNotEmpty()

    /** Whether any workspace with a limit has demand, or a message waits, so that ticks must come every [TICK_INTERVAL]. */
    public val isPending: Boolean
        get() = isNeeded &&
            (pool.active.isNotEmpty() || uplink.isPending || lender.isPending || clock.now() < settledAt)

    /** Part of each quota that this host spends as a root lender, from 0 to 1. */
    public val share: Double get() = weights.currentShare()

    /** Applies [limits] by workspace, in place of all previous ones, to every token at this host at once. */
    public fun configure(limits: Map<Int, QuotaLimit>) {
        pool.configure(limits).forEach { it.onDecision(QuotaDecision.Allowed) }
    }

    /** Sets the number of hosts among which each quota is divided. */
    public fun setHostCount(hosts: Int) {
        weights.integrate()
        weights.hosts = maxOf(1, hosts, tree.liveHosts)
    }

    /**
     * Decides on a request of the workspace [key], which can wait for up to [maxWait]; calls [onDecision] once, at once or
     * within that time. Returns the ticket of a request that waits, or null.
     */
    public fun acquire(key: Int, maxWait: Duration, onDecision: (QuotaDecision) -> Unit): QuotaTicket? {
        val now = clock.now()
        dropAfterPause(now)
        val tokens = pool.find(key)
        if (tokens == null) {
            onDecision(QuotaDecision.Allowed)
            return null
        }
        tokens.recordDemand(1, now)
        val wait = minOf(maxWait, MAX_WAIT)
        when {
            tokens.waiters.isEmpty() && pool.take(tokens, 1) == 1 -> onDecision(QuotaDecision.Allowed)
            timeUntilAsked(tokens, now) > wait || tokens.waiters.size >= MAX_WAITERS -> onDecision(refusal(tokens, now))
            else -> return enqueue(tokens, QuotaWaiter(now + wait, onDecision))
        }
        return null
    }

    /** Returns the token of a request of the workspace [key] that has not run. */
    public fun giveBack(key: Int) {
        val tokens = pool.find(key) ?: return
        pool.putBack(tokens, 1)
        serveWaiters()
    }

    /** Applies a message of the host [from]. */
    public fun received(from: HostId, message: QuotaMessage) {
        dropAfterPause(clock.now())
        when (message) {
            is QuotaMessage.Ask -> lender.received(from, message)
            is QuotaMessage.Grant -> if (uplink.received(from, message)) serve()
        }
        uplink.flush()
    }

    /**
     * Sends what is due and refuses requests that have waited too long; called every [TICK_INTERVAL] while [isPending], and
     * otherwise every [IDLE_TICK_INTERVAL].
     */
    public fun tick() {
        dropAfterPause(clock.now())
        if (!isNeeded) return
        uplink.checkReplies()?.let(tree::setSilent)
        connect()
        serve()
        uplink.flush()
        tickInterval = if (isPending) TICK_INTERVAL else IDLE_TICK_INTERVAL
    }

    private fun enqueue(tokens: QuotaTokens, waiter: QuotaWaiter): QuotaTicket {
        if (tokens.waiters.isEmpty()) waiting += tokens
        tokens.waiters += waiter
        pool.urgent[tokens.key] = tokens
        uplink.flush()
        return QuotaTicket { tokens.waiters.remove(waiter) }
    }

    private fun connect() {
        val root = tree.rootLender()
        val nearest = tree.domainLender()
        val isDomainLender = nearest == self || weights.hasLeafChildren
        val parent = if (isDomainLender) root else nearest
        val isRoot = root == self
        val lenderHost = parent.takeIf { !isRoot }
        reportChange(lenderHost, isDomainLender)
        uplink.connect(lenderHost, isDomainLender)
        lender.hasLender = !isRoot
        pool.refreshShare(isRoot)
    }

    private fun reportChange(lenderHost: HostId?, isDomainLender: Boolean) {
        val before = connectedTo
        val isChanged = !isConnected || lenderHost != before
        val reason = when {
            !isConnected -> QuotaLenderChange.Reason.STARTED
            isDomainLender != wasDomainLender || before == null || lenderHost == null -> QuotaLenderChange.Reason.ROLE
            else -> tree.reasonAgainst(before)
        }
        isConnected = true
        connectedTo = lenderHost
        wasDomainLender = isDomainLender
        if (!isChanged) return
        settledAt = clock.now() + SETTLING_TIME
        onLenderChanged(QuotaLenderChange(before, lenderHost, reason))
    }

    private fun serve() {
        serveWaiters()
        lender.serveDeferred()
    }

    private fun serveWaiters() {
        if (waiting.isEmpty()) return
        val now = clock.now()
        val decided = ArrayList<Pair<QuotaWaiter, QuotaDecision>>()
        waiting.removeIf { tokens ->
            while (tokens.waiters.isNotEmpty()) {
                val first = tokens.waiters.first()
                val until = maxOf(first.until, lateUntil)
                val decision = when {
                    pool.take(tokens, 1) == 1 -> QuotaDecision.Allowed
                    until <= now || now + roomIn(tokens, now) > until -> refusal(tokens, now)
                    else -> break
                }
                decided += tokens.waiters.removeFirst() to decision
            }
            if (tokens.waiters.isNotEmpty()) pool.urgent[tokens.key] = tokens
            tokens.waiters.isEmpty()
        }
        decided.forEach { (waiter, decision) -> waiter.onDecision(decision) }
    }

    private fun roomIn(tokens: QuotaTokens, now: Duration): Duration =
        if (weights.share > 0 && !lender.hasLender) {
            tokens.timeUntilFilled(weights, now)
        } else {
            (tokens.roomAt - now).coerceAtLeast(Duration.ZERO)
        }

    /** Returns the time until a request of the workspace can get a token or is worth a message. */
    private fun timeUntilAsked(tokens: QuotaTokens, now: Duration): Duration =
        if (lender.hasLender) tokens.refusedUntil - now else roomIn(tokens, now)

    private fun refusal(tokens: QuotaTokens, now: Duration) =
        QuotaDecision.Refused(roomIn(tokens, now), tokens.held + tokens.bucket.toInt())

    /** Tokens from before a pause may have been spent again by others since. */
    private fun dropAfterPause(now: Duration) {
        if (now - tickedAt > tickInterval + MAX_LATENESS) lateUntil = now + LATE_TIME
        if (now - tickedAt > QuotaWeights.MAX_STEP) {
            uplink.giveUp()
            pool.dropAll()
            pool.refreshShare(!lender.hasLender)
        }
        tickedAt = now
    }

    public companion object {
        /** Interval of [tick] while something waits. */
        public val TICK_INTERVAL: Duration = 20.milliseconds

        /** Interval of [tick] while nothing waits, as often as lenders send regular messages. */
        public val IDLE_TICK_INTERVAL: Duration = 100.milliseconds

        /** Longest time for which a request waits for a token: most pauses of a lender with a whole core are shorter. */
        public val MAX_WAIT: Duration = 200.milliseconds

        /** Delay of an expected tick from which this host was late. */
        private val MAX_LATENESS = 40.milliseconds

        /** Time to handle what arrived while this host was late. */
        private val LATE_TIME = 40.milliseconds

        /** Longest time until a lender counts the part of a host that has just started, or that comes from another. */
        private val SETTLING_TIME = 2_000.milliseconds

        /** Requests of one workspace that wait for tokens at one host. */
        private const val MAX_WAITERS = 256
    }
}
