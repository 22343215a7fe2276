package kingcuptide.coordination.version

import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Liveness

/** Whether a version is held by enough witnesses. */
internal enum class WitnessVerdict {
    /** Enough witnesses hold it. */
    ENOUGH,

    /** Too few hold it, but all that are not dead do. */
    ALL_REACHABLE,

    /** More may still answer. */
    NOT_YET,
}

/**
 * What is known of the versions that the witnesses hold. Bounded by the number of witnesses. Not thread-safe.
 *
 * A version is safe once [requiredOf] of the n witnesses hold it. A restarting daemon that hears n - required + 1 of
 * them therefore hears at least one that holds it, as long as none of these has lost its memory in between.
 */
internal class WitnessTracker(
    private val fleet: FleetView,
    private val roles: SpreadRoles,
    private val settings: VersionSettings,
) {
    private val held = HashMap<HostId, ResourceVersion>()

    /** Notes that [host] holds [version]; ignored unless it is a witness for this daemon. */
    fun note(host: HostId, version: ResourceVersion) {
        val known = held[host]
        if (known != null && known.number >= version.number) return
        if (roles.witnesses().none { it.host == host }) return
        held[host] = version
        if (held.size > roles.witnesses().size) held.keys.retainAll(roles.witnesses().mapTo(mutableSetOf()) { it.host })
    }

    /** Returns the witnesses that hold [version] or a newer one. */
    fun holding(version: ResourceVersion): List<HostEntry> = roles.witnesses().filter { holds(it.host, version) }

    /** Returns the witnesses that are not dead and not known to hold [version]. */
    fun missing(version: ResourceVersion): List<HostEntry> =
        roles.witnesses().filter { !holds(it.host, version) && fleet.liveness(it.host) != Liveness.DEAD }

    /** Judges whether enough witnesses hold [version]. */
    fun verdict(version: ResourceVersion): WitnessVerdict {
        val witnesses = roles.witnesses()
        val holding = holding(version)
        val required = requiredOf(witnesses.size, settings)
        val isSpread = holding.domains() >= minOf(MIN_DOMAINS, witnesses.domains(), required)
        if (holding.size >= required && isSpread) return WitnessVerdict.ENOUGH
        return if (missing(version).isEmpty()) WitnessVerdict.ALL_REACHABLE else WitnessVerdict.NOT_YET
    }

    private fun holds(host: HostId, version: ResourceVersion): Boolean {
        val known = held[host] ?: return false
        return known == version || known.number > version.number
    }

    private fun List<HostEntry>.domains(): Int = distinctBy { it.failureDomain }.size

    private companion object {
        const val MIN_DOMAINS = 2
    }
}

/** How many of [witnesses] must hold a version: the set number, but never more than half of them, rounded up. */
internal fun requiredOf(witnesses: Int, settings: VersionSettings): Int =
    minOf(settings.requiredWitnesses, (witnesses + 1) / 2)

/** How many of [witnesses] must answer a restarting daemon, so that one of them holds whatever was in force. */
internal fun joinQuorumOf(witnesses: Int, settings: VersionSettings): Int =
    when (val required = requiredOf(witnesses, settings)) {
        0 -> 0
        else -> witnesses - required + 1
    }
