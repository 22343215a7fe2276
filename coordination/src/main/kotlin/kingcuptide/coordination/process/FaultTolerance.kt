package kingcuptide.coordination.process

/**
 * What may be lost at the same time while everything that daemons do for each other goes on.
 *
 * @property failureDomains number of failure domains, 0 or more
 * @property regions number of regions, 0 or more
 */
public data class FaultTolerance(
    val failureDomains: Int = 1,
    val regions: Int = 1,
) {
    init {
        require(failureDomains >= 0) { "failureDomains is $failureDomains, expected 0 or more" }
        require(regions >= 0) { "regions is $regions, expected 0 or more" }
    }

    /** Number of daemons that hold a duty of which one must be left; at least 2, since any host may fail. */
    val copies: Int get() = 1 + maxOf(1, failureDomains, regions)

    /** Number of regions over which these daemons are spread, if the fleet has as many. */
    val spreadRegions: Int get() = 1 + regions

    /** Number of failure domains over which these daemons are spread, if the fleet has as many. */
    val spreadDomains: Int get() = 1 + failureDomains
}
