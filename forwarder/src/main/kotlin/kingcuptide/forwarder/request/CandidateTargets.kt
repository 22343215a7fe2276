package kingcuptide.forwarder.request

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.instance
import kingcuptide.coordination.version.KnownTarget

/** Determines the targets that may get a request now, by the published state and the connections of this daemon. */
internal class CandidateTargets(
    private val dependencies: EntryDependencies,
    private val transport: GateTransport,
) {
    /** Returns the targets of [service] in one of [homeRegions], or in any region if these are empty. */
    fun of(service: ServiceId, homeRegions: Set<RegionId>): List<KnownTarget> {
        val published = dependencies.published
        val reachable = published.targetsOf(service).filter {
            !isLeaving(it) &&
                it.entry.failureDomain !in published.takenOut &&
                isIn(homeRegions, it) &&
                transport.canSend(it)
        }
        // Targets that a lagging replica of the source still lists may have left.
        return if (published.isConfirmed) reachable else reachable.filter(transport::isToldInUse)
    }

    private fun isLeaving(target: KnownTarget): Boolean =
        target.entry.leaving || dependencies.leaving.isLeaving(target.entry.instance)

    private fun isIn(homeRegions: Set<RegionId>, target: KnownTarget): Boolean =
        homeRegions.isEmpty() || dependencies.location.regionOf(target.entry.failureDomain) in homeRegions
}
