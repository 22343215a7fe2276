package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId

/** How far a target is from the daemon that sends it a request. */
public enum class Distance {
    SAME_DOMAIN,
    SAME_REGION,
    OTHER_REGION,
}

/** Failure domain and region of this daemon; [regionOf] returns the region of a failure domain, or null if unknown. */
public data class DaemonLocation(
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val regionOf: (FailureDomainId) -> RegionId?,
) {
    /** Returns the distance to [other]; a failure domain of unknown region counts as [Distance.OTHER_REGION]. */
    public fun distanceTo(other: FailureDomainId): Distance = when {
        other == failureDomain -> Distance.SAME_DOMAIN
        regionOf(other) == region -> Distance.SAME_REGION
        else -> Distance.OTHER_REGION
    }
}
