package kingcuptide.coordination.version

import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Liveness

/** Whether enough witnesses have a version. */
internal enum class WitnessVerdict {
    /** Enough witnesses have it. */
    ENOUGH,

    /** Too few witnesses have it, but all that are not dead do. */
    ALL_REACHABLE,

    /** More witnesses may still acknowledge it. */
    NOT_YET,
}

/**
 * Tracks the versions that the witnesses are known to have. Bounded by the number of witnesses. Not thread-safe.
 *
 * A version is safe once [requiredWitnessCount] of the n witnesses have it. A restarted daemon that gets replies from
 * n - required + 1 of them therefore gets at least one from a witness that has it, as long as no such witness has lost
 * its state in between.
 */
internal class WitnessTracker(
    private val fleet: FleetView,
    private val roles: DistributionRoles,
    private val settings: VersionSettings,
) {
    private val versions = HashMap<HostId, ResourceVersion>()

    /** Records that [host] has [version]; ignored unless [host] is a witness for this daemon. */
    fun record(host: HostId, version: ResourceVersion) {
        val known = versions[host]
        if (known != null && known.number >= version.number) return
        if (roles.witnesses().none { it.host == host }) return
        versions[host] = version
        if (versions.size > roles.witnesses().size) {
            versions.keys.retainAll(roles.witnesses().mapTo(mutableSetOf()) { it.host })
        }
    }

    /** Returns the witnesses that have [version] or a newer one. */
    fun holders(version: ResourceVersion): List<HostEntry> = roles.witnesses().filter { has(it.host, version) }

    /** Returns the witnesses that are not dead and not known to have [version]. */
    fun witnessesWithout(version: ResourceVersion): List<HostEntry> =
        roles.witnesses().filter { !has(it.host, version) && fleet.liveness(it.host) != Liveness.DEAD }

    /** Returns whether enough witnesses have [version], in enough failure domains. */
    fun verdict(version: ResourceVersion): WitnessVerdict {
        val witnesses = roles.witnesses()
        val holders = holders(version)
        val required = requiredWitnessCount(witnesses.size, settings)
        val coversDomains =
            holders.failureDomainCount() >= minOf(MIN_FAILURE_DOMAINS, witnesses.failureDomainCount(), required)
        if (holders.size >= required && coversDomains) return WitnessVerdict.ENOUGH
        return if (witnessesWithout(version).isEmpty()) WitnessVerdict.ALL_REACHABLE else WitnessVerdict.NOT_YET
    }

    private fun has(host: HostId, version: ResourceVersion): Boolean {
        val known = versions[host] ?: return false
        return known == version || known.number > version.number
    }

    private fun List<HostEntry>.failureDomainCount(): Int = distinctBy { it.failureDomain }.size

    private companion object {
        const val MIN_FAILURE_DOMAINS = 2
    }
}

/** Number of [witnesses] that must have a version: the configured number, but at most half of them, rounded up. */
internal fun requiredWitnessCount(witnesses: Int, settings: VersionSettings): Int =
    minOf(settings.requiredWitnesses, (witnesses + 1) / 2)

/** Number of [witnesses] that must reply to a restarted daemon, so that one of them has every version in force. */
internal fun joinQuorumSize(witnesses: Int, settings: VersionSettings): Int =
    when (val required = requiredWitnessCount(witnesses, settings)) {
        0 -> 0
        else -> witnesses - required + 1
    }
