package kingcuptide.coordination.version

import kingcuptide.coordination.process.RegionId

/** The workspaces of one accepted version, by the digests of their API keys. Immutable. */
public class Workspaces(
    public val all: List<Workspace>,
) {
    /** Whether requests need an API key, unless their route allows anonymous requests. */
    public val requireKey: Boolean get() = all.isNotEmpty()

    public companion object {
        /** A configuration without workspaces: no request needs a key. */
        public val NONE: Workspaces = Workspaces(emptyList())
    }
}

/**
 * A customer whose requests carry one of its API keys.
 *
 * @property priority replaces the priority of the route; null leaves it
 * @property ratePerSecond requests a second that all hosts together serve; 0 means no limit
 * @property burst requests that may be served at once beyond the rate
 * @property homeRegions the only regions that may serve its requests; empty means any region
 */
public data class Workspace(
    val name: String,
    val priority: Int?,
    val ratePerSecond: Double,
    val burst: Double,
    val homeRegions: Set<RegionId>,
)
