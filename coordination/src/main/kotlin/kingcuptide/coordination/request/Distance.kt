package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId

/** How far a target is from the daemon that sends it a request. */
public enum class Distance {
    SAME_DOMAIN,
    SAME_REGION,
    OTHER_REGION,
}

/** Where this daemon stands, from which the way to each target follows. */
public data class DaemonLocation(
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val regionOf: (FailureDomainId) -> RegionId?,
) {
    /** Returns how far [other] is; a failure domain of unknown region is held to be far. */
    public fun distanceTo(other: FailureDomainId): Distance = when {
        other == failureDomain -> Distance.SAME_DOMAIN
        regionOf(other) == region -> Distance.SAME_REGION
        else -> Distance.OTHER_REGION
    }
}
