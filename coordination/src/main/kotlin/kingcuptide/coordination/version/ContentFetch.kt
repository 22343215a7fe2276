package kingcuptide.coordination.version

import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.PayloadRequest
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Requests content that is newer than this daemon's from one peer at a time. Not thread-safe. */
internal class ContentFetch(
    private val kind: ResourceKind,
    private val clock: Clock,
    private val fleet: FleetView,
    private val settings: VersionSettings,
    private val counters: VersionCounters,
) {
    private val offers = OfferTable(::distanceTo)
    private var inFlight: RequestInFlight? = null

    /** Whether a peer is known to have newer content. */
    val isBehind: Boolean
        get() = offers.isNotEmpty()

    /** Records that [host] has [version], which is newer than this daemon's. */
    fun record(host: HostId, version: ResourceVersion) = offers.record(host, version)

    /** Removes the offers for which [keep] returns false. */
    fun retain(keep: (ResourceVersion) -> Boolean) = offers.retain(keep)

    /** Removes the offer of [host], because its payload was invalid. */
    fun forget(host: HostId) = offers.remove(host)

    /** Records that [host] has sent a payload; the next request may be sent. */
    fun payloadReceived(host: HostId) {
        if (inFlight?.host == host) inFlight = null
    }

    /** Ends the request to [host], which is busy; it gets none for [retryAfterMs], at most [MAX_RETRY_AFTER_MS]. */
    fun busyReceived(host: HostId, retryAfterMs: Long) {
        if (inFlight?.host != host) return
        counters.count(VersionEvent.WANT_REFUSED)
        inFlight = null
        offers.delay(host, clock.now() + retryAfterMs.coerceIn(0, MAX_RETRY_AFTER_MS).milliseconds)
    }

    /** Ends the pending request if it has timed out, and removes the offer of that peer. */
    fun expire() {
        val pending = inFlight ?: return
        if (clock.now() - pending.since < settings.payloadTimeout) return
        counters.count(VersionEvent.WANT_TIMED_OUT)
        offers.remove(pending.host)
        inFlight = null
    }

    /** Requests the newest version that is offered, as a delta from [base] if possible, unless a request is pending. */
    fun requestNext(base: ResourceVersion?): List<Outbound> {
        if (inFlight != null) return emptyList()
        val now = clock.now()
        val (host, version) = offers.best(now) ?: return emptyList()
        inFlight = RequestInFlight(host, now)
        return listOf(Outbound(host, PayloadRequest(kind, version, base)))
    }

    private fun distanceTo(host: HostId): Int {
        val entry = fleet.entry(host) ?: return OTHER_REGION
        return when {
            entry.failureDomain == fleet.self.failureDomain -> SAME_DOMAIN
            entry.region == fleet.self.region -> SAME_REGION
            else -> OTHER_REGION
        }
    }

    private data class RequestInFlight(
        val host: HostId,
        val since: Duration,
    )

    private companion object {
        const val MAX_RETRY_AFTER_MS = 5_000L
        const val SAME_DOMAIN = 0
        const val SAME_REGION = 1
        const val OTHER_REGION = 2
    }
}
