package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.rendezvousWeight
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Determines from which host this one gets tokens: those with the largest processor share, and rendezvous hashing among
 * these, so that hosts with the same view agree without messages. Hosts that leave, have just started or were silent are
 * used only if there are no others. Views may differ; that costs tokens but never spends a share twice. Not thread-safe.
 */
public class QuotaTree(
    private val clock: Clock,
    private val self: HostId,
    private var own: QuotaPeer,
) {
    private val createdAt = clock.now()
    private val peers = hashMapOf(self to own)
    private val firstSeenAt = hashMapOf(self to createdAt)
    private val silences = HashMap<HostId, Silence>()
    private var roles: Roles? = null

    /** Records which hosts are live; this one always is, and [isLeaving] says whether it stops. */
    public fun setLive(hosts: Map<HostId, QuotaPeer>, isLeaving: Boolean = false) {
        own = own.copy(isLeaving = isLeaving)
        val live = hosts + (self to own)
        if (live == peers) return
        firstSeenAt.keys.retainAll { live[it]?.startedAtUnixMs == peers[it]?.startedAtUnixMs }
        live.keys.forEach { firstSeenAt.putIfAbsent(it, clock.now()) }
        peers.clear()
        peers += live
        silences.keys.retainAll(peers.keys)
        roles = null
    }

    /** Number of live hosts, this one included. */
    public val liveHosts: Int get() = peers.size

    /** Passes over [host] as lender, since it does not reply; for longer each time. */
    internal fun setSilent(host: HostId) {
        val length = silences[host]?.let { minOf(it.length * 2, MAX_SILENT_TIME) } ?: SILENT_TIME
        silences[host] = Silence(clock.now() + length, length)
        roles = null
    }

    /** Returns the root lender of the live hosts, which may be this host. */
    internal fun rootLender(): HostId = roles().root

    /** Returns the host of this failure domain that lends to this one, which may be this host. */
    internal fun domainLender(): HostId = roles().domainLender

    /** Returns why [host] is not the lender of this one any more. */
    internal fun reasonAgainst(host: HostId): QuotaLenderChange.Reason {
        val peer = peers[host]
        return when {
            peer == null -> QuotaLenderChange.Reason.GONE
            isSilent(host) -> QuotaLenderChange.Reason.SILENT
            peer.isLeaving -> QuotaLenderChange.Reason.LEAVING
            else -> QuotaLenderChange.Reason.BETTER
        }
    }

    private fun roles(): Roles {
        val known = roles
        if (known != null && clock.now() < known.until) return known
        return findRoles().also { roles = it }
    }

    private fun findRoles(): Roles {
        val requiredAge = requiredAge()
        val newHosts = peers.keys.filterTo(HashSet()) { ageOf(it) < requiredAge }
        val ranks = peers.keys.associateWith { rankOf(it, it in newHosts) }
        val ownDomain = peers.keys.filter { peers.getValue(it).failureDomain == own.failureDomain }
        val lenderCount = (ownDomain.size + MAX_HOSTS_PER_LENDER - 1) / MAX_HOSTS_PER_LENDER
        val lenders = best(ownDomain, ranks, LENDER_PURPOSE).take(lenderCount)
        val nearest = if (self in lenders) self else lenders.maxBy { rendezvousWeight(self.value, it) }
        val isFinal = newHosts.isEmpty() && peers.keys.none(::isSilent)
        val until = if (isFinal) Duration.INFINITE else clock.now() + CHECK_INTERVAL
        return Roles(best(peers.keys, ranks, ROOT_PURPOSE).first(), nearest, until)
    }

    /** Returns those of [hosts] with the highest rank, the best for [purpose] first. */
    private fun best(hosts: Collection<HostId>, ranks: Map<HostId, Int>, purpose: String): List<HostId> {
        val highest = hosts.maxOf(ranks::getValue)
        return hosts
            .filter { ranks[it] == highest }
            .map { it to rendezvousWeight(purpose, it) }
            .sortedByDescending { it.second }
            .map { it.first }
    }

    /** A silent host is the worst lender, then one that leaves, then a new one; others rank by their processor share. */
    private fun rankOf(host: HostId, isNew: Boolean): Int {
        val peer = peers.getValue(host)
        val share = peer.cpuShare.coerceIn(0, QuotaPeer.WHOLE_CORE)
        return when {
            isSilent(host) -> share - 3 * RANK_STEP
            peer.isLeaving -> share - 2 * RANK_STEP
            isNew -> share - RANK_STEP
            else -> share
        }
    }

    private fun isSilent(host: HostId): Boolean = silences[host].let { it != null && clock.now() < it.until }

    /**
     * Returns the age of the daemon of [host] as this host knows it. The difference of two start times is off by that of
     * two clocks, but all hosts see the same order.
     */
    private fun ageOf(host: HostId): Duration {
        val now = clock.now()
        val startedLater = (peers.getValue(host).startedAtUnixMs - own.startedAtUnixMs).milliseconds
        return maxOf(now - createdAt - startedLater, now - firstSeenAt.getValue(host))
    }

    /** Hosts that have started together, as after a restart of all, are equally new. */
    private fun requiredAge(): Duration = minOf(MIN_AGE, peers.keys.maxOf(::ageOf) - STARTED_TOGETHER)

    private class Roles(
        val root: HostId,
        val domainLender: HostId,
        val until: Duration,
    )

    private class Silence(
        val until: Duration,
        val length: Duration,
    )

    internal companion object {
        /** Hosts of a failure domain per domain lender, so that the messages at one lender do not grow with the fleet. */
        const val MAX_HOSTS_PER_LENDER = 32

        /** Time for which a host that did not reply is first passed over; after 2 s, many are still slow. */
        val SILENT_TIME = 10.seconds
        private val MAX_SILENT_TIME = 60.seconds

        /** A daemon uses all of a small processor share for about this time after its start. */
        private val MIN_AGE = 5.seconds

        /** Longest time between the first and the last start when all hosts restart. */
        private val STARTED_TOGETHER = 3.seconds
        private val CHECK_INTERVAL = 200.milliseconds
        private const val RANK_STEP = QuotaPeer.WHOLE_CORE + 1
        private const val ROOT_PURPOSE = "quota-root"
        private const val LENDER_PURPOSE = "quota-domain"
    }
}
