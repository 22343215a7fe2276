package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.rendezvousWeight
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Determines from which host this one gets tokens: rendezvous hashing over the live hosts, so that hosts with the same
 * view agree without messages. Views may differ; that costs tokens but never spends a share twice. Not thread-safe.
 */
public class QuotaTree(
    private val clock: Clock,
    private val self: HostId,
    private val domain: FailureDomainId,
) {
    private val domains = hashMapOf(self to domain)
    private val silentUntil = HashMap<HostId, Duration>()
    private var roles: Roles? = null

    /** Records which hosts are live, with their failure domains; this one always is. */
    public fun setLive(hosts: Map<HostId, FailureDomainId>) {
        val others = if (self in hosts) hosts.size - 1 else hosts.size
        if (domains.size == others + 1 && hosts.all { domains[it.key] == it.value }) return
        domains.clear()
        domains += hosts
        domains[self] = domain
        silentUntil.keys.retainAll(domains.keys)
        roles = null
    }

    /** Number of live hosts, this one included. */
    public val liveHosts: Int get() = domains.size

    /** Passes over [host] as lender for [SILENT_TIME], since it does not reply. */
    internal fun setSilent(host: HostId) {
        silentUntil[host] = clock.now() + SILENT_TIME
        roles = null
    }

    /** Returns the root lender of the live hosts, which may be this host. */
    internal fun rootLender(): HostId = roles().root

    /** Returns the host of this failure domain that lends to this one, which may be this host. */
    internal fun domainLender(): HostId = roles().domainLender

    private fun roles(): Roles {
        if (silentUntil.isNotEmpty() && silentUntil.values.removeIf { it <= clock.now() }) roles = null
        return roles ?: findRoles().also { roles = it }
    }

    private fun findRoles(): Roles {
        val usable = domains.keys.filter { it !in silentUntil }
        val peers = usable.filter { domains[it] == domain }
        val lenderCount = (peers.size + MAX_HOSTS_PER_LENDER - 1) / MAX_HOSTS_PER_LENDER
        val lenders = peers.sortedByDescending { rendezvousWeight(LENDER_PURPOSE, it) }.take(lenderCount)
        val nearest = if (self in lenders) self else lenders.maxBy { rendezvousWeight(self.value, it) }
        return Roles(usable.maxBy { rendezvousWeight(ROOT_PURPOSE, it) }, nearest)
    }

    private class Roles(
        val root: HostId,
        val domainLender: HostId,
    )

    internal companion object {
        /** Hosts of a failure domain per domain lender, so that the messages at one lender do not grow with the fleet. */
        const val MAX_HOSTS_PER_LENDER = 32

        /** Time for which a host that did not reply is passed over. */
        val SILENT_TIME = 2.seconds
        private const val ROOT_PURPOSE = "quota-root"
        private const val LENDER_PURPOSE = "quota-domain"
    }
}
