package kingcuptide.forwarder.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.request.quota.QuotaAccount
import kingcuptide.coordination.request.quota.QuotaDecision
import kingcuptide.coordination.request.quota.QuotaHosts
import kingcuptide.coordination.request.quota.QuotaLenderChange
import kingcuptide.coordination.request.quota.QuotaMessage
import kingcuptide.coordination.request.quota.QuotaPeer
import kingcuptide.coordination.request.quota.QuotaTree
import kingcuptide.coordination.request.quota.hasLimit
import kingcuptide.coordination.request.quota.quotaKey
import kingcuptide.coordination.request.quota.quotaLimitsOf
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.Workspace
import kingcuptide.coordination.version.Workspaces
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.eventLog
import kingcuptide.forwarder.process.processAge
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Connects the quota account of this host to its peers and to the published state. Used on the event loop.
 *
 * @param onPending called when [isPending] may have become true
 * @param atTurnEnd runs its argument when the end of a caller's connection that arrived with a credit is read
 */
class QuotaService(
    self: HostId,
    own: QuotaPeer,
    private val clock: Clock,
    random: Random,
    private val published: PublishedState,
    private val metrics: DaemonMetrics,
    private val isStopping: () -> Boolean = { false },
    private val onPending: () -> Unit = {},
    private val atTurnEnd: (() -> Unit) -> Unit = { it() },
    private val peers: () -> Collection<PeerSession>,
) : QuotaAdmission {
    private val tree = QuotaTree(clock, self, own)
    private val account = QuotaAccount(self, clock, tree, random, processAge(), ::lenderChanged, ::send)
    private val hosts = QuotaHosts(clock)
    private var sessions = emptyMap<HostId, PeerSession>()
    private var workspaces = Workspaces.NONE
    private var peersCheckedAt = -PEERS_INTERVAL

    init {
        metrics.registerGauge("kingcuptide_quota_share") { account.share }
    }

    /** Whether [tick] must be called every [QuotaAccount.TICK_INTERVAL]. */
    val isPending: Boolean get() = account.isPending

    override suspend fun acquire(workspace: Workspace, maxWait: Duration): QuotaDecision {
        if (!workspace.hasLimit) return QuotaDecision.Allowed
        val decision = suspendCancellableCoroutine { continuation ->
            var waits = false
            val ticket = account.acquire(quotaKey(workspace.name), maxWait) { decision ->
                val decide = {
                    if (continuation.isActive) {
                        continuation.resume(decision)
                    } else if (decision == QuotaDecision.Allowed) {
                        giveBack(workspace)
                    }
                }
                if (waits) atTurnEnd(decide) else decide()
            }
            waits = ticket != null
            continuation.invokeOnCancellation { ticket?.cancel() }
            if (ticket != null) onPending()
        }
        val outcome = if (decision == QuotaDecision.Allowed) QuotaOutcome.ALLOWED else QuotaOutcome.REFUSED
        metrics.quota(workspace.name, outcome)
        return decision
    }

    override fun giveBack(workspace: Workspace) {
        if (!workspace.hasLimit) return
        metrics.quota(workspace.name, QuotaOutcome.RETURNED)
        account.giveBack(quotaKey(workspace.name))
    }

    /** Applies a changed published state: the limits of its configuration, and the number of hosts. */
    fun stateChanged() {
        val current = published.routing?.workspaces ?: Workspaces.NONE
        if (current !== workspaces) {
            workspaces = current
            account.configure(quotaLimitsOf(current))
        }
        if (account.isNeeded) countHosts()
    }

    /** Sends what is due; called every [QuotaAccount.IDLE_TICK_INTERVAL], and more often while [isPending]. */
    fun tick() {
        if (account.isNeeded && clock.now() - peersCheckedAt >= PEERS_INTERVAL) updatePeers()
        account.tick()
    }

    fun received(session: PeerSession, message: PeerMessage) {
        val host = session.peer?.host ?: return
        val decoded = message.toQuotaMessage() ?: return
        account.received(HostId(host), decoded)
        onPending()
    }

    private fun updatePeers() {
        peersCheckedAt = clock.now()
        val live = peers().filter { it.isOpen }
        sessions = live.associateBy { HostId(checkNotNull(it.peer).host) }
        tree.setLive(live.associate { HostId(checkNotNull(it.peer).host) to it.toQuotaPeer() }, isStopping())
        countHosts()
    }

    private fun PeerSession.toQuotaPeer(): QuotaPeer {
        val hello = checkNotNull(peer)
        val isLeaving = lastPing?.leaving == true
        return QuotaPeer(FailureDomainId(hello.failureDomain), hello.cpuShare, hello.incarnation, isLeaving)
    }

    private fun lenderChanged(change: QuotaLenderChange) = log.info(
        "quota_lender_changed",
        "lender" to (change.after ?: "self"),
        "before" to (change.before ?: "self"),
        "reason" to change.reason.label,
    )

    private fun countHosts() {
        val leavingByAddress = HashMap<String, Boolean>()
        published.targets.forEach { leavingByAddress.merge(it.entry.ip, it.entry.leaving, Boolean::and) }
        account.setHostCount(hosts.update(leavingByAddress))
    }

    private fun send(to: HostId, message: QuotaMessage) {
        sessions[to]?.takeIf { it.isOpen }?.send(message.toPeerMessage())
    }

    private companion object {
        /** Interval of looking at which hosts are connected; a host that is silent is noticed without this. */
        val PEERS_INTERVAL = 200.milliseconds
        val log = eventLog("quota")
    }
}

/** What became of a request with regard to the quota of its workspace. */
enum class QuotaOutcome(
    val label: String,
) {
    ALLOWED("allowed"),
    REFUSED("refused"),
    RETURNED("returned"),
}

internal fun QuotaMessage.toPeerMessage(): PeerMessage = when (this) {
    is QuotaMessage.Ask ->
        PeerMessage.QuotaAsk(number, stamp, weight, isDomainLender, isUrgent, keys, wanted, returned)
    is QuotaMessage.Grant -> PeerMessage.QuotaGrant(number, stamp, granted, roomInMs)
}

internal fun PeerMessage.toQuotaMessage(): QuotaMessage? = when (this) {
    is PeerMessage.QuotaAsk -> QuotaMessage.Ask(number, stamp, weight, isDomainLender, isUrgent, keys, wanted, returned)
    is PeerMessage.QuotaGrant -> QuotaMessage.Grant(number, stamp, granted, roomInMs)
    else -> null
}
