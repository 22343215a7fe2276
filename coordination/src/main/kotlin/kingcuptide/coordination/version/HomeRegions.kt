package kingcuptide.coordination.version

import kingcuptide.coordination.process.RegionId

/** Where a request may be served, sent and stored. */
public sealed interface HomeRegions {
    /** Whether the request may be in [region]. */
    public fun allows(region: RegionId): Boolean

    /** Whether no region is allowed. */
    public val isNowhere: Boolean

    /** Returns the regions that both this and [other] allow. */
    public fun intersect(other: HomeRegions): HomeRegions

    /** No restriction. */
    public data object Anywhere : HomeRegions {
        override val isNowhere: Boolean get() = false

        override fun allows(region: RegionId): Boolean = true

        override fun intersect(other: HomeRegions): HomeRegions = other
    }

    /** Only [regions]; none of them is left if route and tenant exclude each other. */
    public data class Only(
        val regions: Set<RegionId>,
    ) : HomeRegions {
        override val isNowhere: Boolean get() = regions.isEmpty()

        override fun allows(region: RegionId): Boolean = region in regions

        override fun intersect(other: HomeRegions): HomeRegions = when (other) {
            is Anywhere -> this
            is Only -> Only(regions intersect other.regions)
        }
    }
}

/** Reads the form that documents use, in which an empty set means no restriction. */
internal fun homeRegionsOf(regions: Set<RegionId>): HomeRegions =
    if (regions.isEmpty()) HomeRegions.Anywhere else HomeRegions.Only(regions)
