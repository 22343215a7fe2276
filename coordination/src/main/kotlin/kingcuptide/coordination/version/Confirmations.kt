package kingcuptide.coordination.version

import kotlin.time.Duration

/**
 * Time at which the source last confirmed, for each of the newest [MAX_VERSIONS] versions, that no newer one exists.
 *
 * Not thread-safe.
 */
internal class Confirmations {
    private val confirmedAt = LinkedHashMap<ResourceVersion, Duration>()

    /** Records that no newer version than [version] existed at [at]. */
    fun record(version: ResourceVersion, at: Duration) {
        confirmedAt.merge(version, at, ::maxOf)
        if (confirmedAt.size > MAX_VERSIONS) confirmedAt.remove(confirmedAt.keys.minBy { it.number })
    }

    /** Returns when [version] was last confirmed, or null if it never was. */
    fun timeOf(version: ResourceVersion): Duration? = confirmedAt[version]

    private companion object {
        const val MAX_VERSIONS = 8
    }
}
