package kingcuptide.coordination.version

import kingcuptide.coordination.process.HostId
import kotlin.time.Duration

/** The peers that have a newer version than this daemon, at most [MAX_OFFERS]. Not thread-safe. */
internal class OfferTable(
    private val distance: (HostId) -> Int,
) {
    private val offers = LinkedHashMap<HostId, RecordedOffer>()

    /** Whether any peer has a newer version. */
    fun isNotEmpty(): Boolean = offers.isNotEmpty()

    /** Records that [host] has [version]; an older version replaces nothing. */
    fun record(host: HostId, version: ResourceVersion) {
        val known = offers[host]
        if (known != null && known.version.number >= version.number) return
        offers[host] = RecordedOffer(version, known?.notBefore ?: Duration.ZERO)
        if (offers.size > MAX_OFFERS) offers.remove(offers.minBy { it.value.version.number }.key)
    }

    /** Removes the offer of [host]. */
    fun remove(host: HostId) {
        offers.remove(host)
    }

    /** Removes the offers for which [keep] returns false. */
    fun retain(keep: (ResourceVersion) -> Boolean) {
        offers.values.retainAll { keep(it.version) }
    }

    /** Excludes [host] from [best] until [until]. */
    fun delay(host: HostId, until: Duration) {
        offers.computeIfPresent(host) { _, offer -> offer.copy(notBefore = until) }
    }

    /** Returns the nearest peer among those with the newest version that may be sent a request at [now]; or null. */
    fun best(now: Duration): Pair<HostId, ResourceVersion>? =
        offers.entries.filter { it.value.notBefore <= now }
            .maxWithOrNull(compareBy({ it.value.version.number }, { -distance(it.key) }))
            ?.let { it.key to it.value.version }

    private data class RecordedOffer(
        val version: ResourceVersion,
        val notBefore: Duration,
    )

    private companion object {
        const val MAX_OFFERS = 16
    }
}
