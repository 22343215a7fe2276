package kingcuptide.coordination.version

import kotlin.time.Duration

/** When the source last confirmed, for each of the newest versions, that nothing newer exists. Not thread-safe. */
internal class Confirmations {
    private val confirmedAt = LinkedHashMap<ResourceVersion, Duration>()

    /** Notes that nothing was newer than [version] at the moment [at]. */
    fun note(version: ResourceVersion, at: Duration) {
        confirmedAt.merge(version, at, ::maxOf)
        if (confirmedAt.size > MAX_VERSIONS) confirmedAt.remove(confirmedAt.keys.minBy { it.number })
    }

    /** Returns when [version] was last confirmed, or null if never. */
    fun of(version: ResourceVersion): Duration? = confirmedAt[version]

    private companion object {
        const val MAX_VERSIONS = 8
    }
}
