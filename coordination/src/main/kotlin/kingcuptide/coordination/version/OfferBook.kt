package kingcuptide.coordination.version

import kingcuptide.coordination.process.HostId
import kotlin.time.Duration

/** The peers that hold a version newer than this daemon's. At most [MAX_OFFERS]. Not thread-safe. */
internal class OfferBook(
    private val distance: (HostId) -> Int,
) {
    private val offers = LinkedHashMap<HostId, NotedOffer>()

    /** Whether any peer holds a newer version. */
    fun isNotEmpty(): Boolean = offers.isNotEmpty()

    /** Notes that [host] holds [version]. */
    fun note(host: HostId, version: ResourceVersion) {
        val known = offers[host]
        if (known != null && known.version.number >= version.number) return
        offers[host] = NotedOffer(version, known?.notBefore ?: Duration.ZERO)
        if (offers.size > MAX_OFFERS) offers.remove(offers.minBy { it.value.version.number }.key)
    }

    /** Forgets what [host] offered. */
    fun remove(host: HostId) {
        offers.remove(host)
    }

    /** Forgets all offers that [keep] does not hold for. */
    fun retain(keep: (ResourceVersion) -> Boolean) {
        offers.values.retainAll { keep(it.version) }
    }

    /** Leaves [host] alone until [until]. */
    fun delay(host: HostId, until: Duration) {
        offers.computeIfPresent(host) { _, offer -> offer.copy(notBefore = until) }
    }

    /** Returns the nearest peer that holds the newest version and may be asked at [now]. */
    fun best(now: Duration): Pair<HostId, ResourceVersion>? =
        offers.entries.filter { it.value.notBefore <= now }
            .maxWithOrNull(compareBy({ it.value.version.number }, { -distance(it.key) }))
            ?.let { it.key to it.value.version }

    private data class NotedOffer(
        val version: ResourceVersion,
        val notBefore: Duration,
    )

    private companion object {
        const val MAX_OFFERS = 16
    }
}
