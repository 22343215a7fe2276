package kingcuptide.coordination.version

import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.PayloadRequest
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Asks one peer at a time for content that is newer than this daemon's. Not thread-safe. */
internal class ContentFetch(
    private val kind: ResourceKind,
    private val clock: Clock,
    private val fleet: FleetView,
    private val settings: VersionSettings,
    private val counters: VersionCounters,
) {
    private val offers = OfferBook(::distanceTo)
    private var want: WantInFlight? = null

    /** Whether a peer is known to hold newer content. */
    val isBehind: Boolean
        get() = offers.isNotEmpty()

    /** Notes that [host] holds [version], which is newer than this daemon's. */
    fun note(host: HostId, version: ResourceVersion) = offers.note(host, version)

    /** Forgets the offers that [keep] does not hold for. */
    fun retain(keep: (ResourceVersion) -> Boolean) = offers.retain(keep)

    /** Forgets what [host] offered, because what it sent was of no use. */
    fun forget(host: HostId) = offers.remove(host)

    /** Notes that [host] has sent something; the next one may be asked. */
    fun answered(host: HostId) {
        if (want?.host == host) want = null
    }

    /** Leaves [host] alone for [retryAfterMs], because it is busy. */
    fun refused(host: HostId, retryAfterMs: Long) {
        if (want?.host != host) return
        counters.count(VersionEvent.WANT_REFUSED)
        want = null
        offers.delay(host, clock.now() + retryAfterMs.coerceIn(0, MAX_RETRY_AFTER_MS).milliseconds)
    }

    /** Gives up on a peer that has not answered in time. */
    fun expire() {
        val pending = want ?: return
        if (clock.now() - pending.since < settings.wantTimeout) return
        counters.count(VersionEvent.WANT_TIMED_OUT)
        offers.remove(pending.host)
        want = null
    }

    /** Asks the best peer for its version, given the content [base], unless one is being asked. */
    fun askNext(base: ResourceVersion?): List<Outbound> {
        if (want != null) return emptyList()
        val now = clock.now()
        val (host, version) = offers.best(now) ?: return emptyList()
        want = WantInFlight(host, now)
        return listOf(Outbound(host, PayloadRequest(kind, version, base)))
    }

    private fun distanceTo(host: HostId): Int {
        val entry = fleet.entry(host) ?: return FAR
        return when {
            entry.failureDomain == fleet.self.failureDomain -> SAME_DOMAIN
            entry.region == fleet.self.region -> SAME_REGION
            else -> FAR
        }
    }

    private data class WantInFlight(
        val host: HostId,
        val since: Duration,
    )

    private companion object {
        const val MAX_RETRY_AFTER_MS = 5_000L
        const val SAME_DOMAIN = 0
        const val SAME_REGION = 1
        const val FAR = 2
    }
}
