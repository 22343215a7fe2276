package kingcuptide.coordination.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kotlin.random.Random

/**
 * Chooses the peers that are offered the versions in force again and again, so that nobody misses one for long.
 *
 * Mostly a peer of the own failure domain; only the roots of a region speak to other regions. Not thread-safe.
 */
internal class AntiEntropy(
    private val clock: Clock,
    private val random: Random,
    private val fleet: FleetView,
    private val roles: SpreadRoles,
    private val settings: VersionSettings,
) {
    private var nextAt = clock.now() + settings.antiEntropyInterval * random.nextDouble()

    /** Returns the peers to offer to, once an interval; otherwise none. */
    fun duePeers(): Set<HostId> {
        val now = clock.now()
        if (now < nextAt) return emptySet()
        nextAt = now + settings.antiEntropyInterval * (MIN_PART + random.nextDouble() / 2)
        val isInDomain = random.nextInt(REGION_ONE_IN) > 0
        val near = roles.randomUsable(isInDomain, random) ?: roles.randomUsable(!isInDomain, random)
        return setOfNotNull(near) + peersAbroad()
    }

    private fun peersAbroad(): List<HostId> {
        if (fleet.self.host !in roles.roots(fleet.self.region)) return emptyList()
        return roles.otherRegions().mapNotNull { roles.roots(it).randomOrNull(random) }
    }

    private companion object {
        const val REGION_ONE_IN = 4
        const val MIN_PART = 0.75
    }
}
