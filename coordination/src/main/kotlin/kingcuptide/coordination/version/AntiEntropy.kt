package kingcuptide.coordination.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kotlin.random.Random

/**
 * Selects the peers to which the versions in force are offered periodically, so that a lost message delays a version
 * only for a short time.
 *
 * Usually a random peer of this daemon's failure domain; only the roots of a region also offer to other regions. Not
 * thread-safe.
 */
internal class AntiEntropy(
    private val clock: Clock,
    private val random: Random,
    private val fleet: FleetView,
    private val roles: DistributionRoles,
    private val settings: VersionSettings,
) {
    private var nextRoundAt = clock.now() + settings.antiEntropyInterval * random.nextDouble()

    /** Returns the peers to offer to if an interval has passed since the last round, otherwise an empty set. */
    fun duePeers(): Set<HostId> {
        val now = clock.now()
        if (now < nextRoundAt) return emptySet()
        nextRoundAt = now + settings.antiEntropyInterval * (MIN_INTERVAL_FACTOR + random.nextDouble() / 2)
        val isInDomain = random.nextInt(ROUNDS_PER_REGION_ROUND) > 0
        val regionalPeer = roles.randomUsable(isInDomain, random) ?: roles.randomUsable(!isInDomain, random)
        return setOfNotNull(regionalPeer) + rootsOfOtherRegions()
    }

    private fun rootsOfOtherRegions(): List<HostId> {
        if (fleet.self.host !in roles.roots(fleet.self.region)) return emptyList()
        return roles.otherRegions().mapNotNull { roles.roots(it).randomOrNull(random) }
    }

    private companion object {
        /** One round in this many offers to a peer of the whole region. */
        const val ROUNDS_PER_REGION_ROUND = 4

        /** Rounds are 0.75 to 1.25 intervals apart. */
        const val MIN_INTERVAL_FACTOR = 0.75
    }
}
