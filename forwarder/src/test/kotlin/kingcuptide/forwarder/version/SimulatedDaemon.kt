package kingcuptide.forwarder.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.CallerLimits
import kingcuptide.coordination.version.PublishedItem
import kingcuptide.coordination.version.PublishedItemDecoder
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.RoutingVersion
import kingcuptide.coordination.version.SourceItem
import kingcuptide.coordination.version.SourcePosition
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.VirtualTime
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.StatePeer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The published state of one simulated daemon with its exchange; it reads the source when it is told to. */
internal class SimulatedDaemon(
    private val time: VirtualTime,
    private val source: SimulatedSource,
    val number: Int,
    val region: String,
    val failureDomain: String,
    private val openLinks: (SimulatedDaemon) -> List<SimulatedLink>,
) {
    private var pings = 0
    private var reconcileAt: Duration = Duration.INFINITE
    private var sync = newSync()

    lateinit var published: PublishedState
        private set

    var isUp = true

    var startedAt: Duration = time.now()
        private set

    /** Until when rules with a time bound do not hold for this daemon, since it or its host was disturbed. */
    var excusedUntil: Duration = Duration.ZERO

    /** Delay of each message that it receives, which is how a slow host shows itself. */
    var slowness: () -> Duration = { Duration.ZERO }

    private fun newSync(): PublishedStateSync {
        published = PublishedState(time, SimulatedItems)
        return PublishedStateSync(time, PREFIXES, published, Peers()) {}
    }

    /** Starts again without any state. */
    fun restart() {
        isUp = true
        startedAt = time.now()
        sync = newSync()
    }

    fun ping() = PeerMessage.Ping(sync.asOf(), ageMs(), 0, false, NO_LOAD, published.digest(), 0)

    private fun ageMs(): Long = published.age().let { if (it.isFinite()) it.inWholeMilliseconds else -1 }

    /** Pings peers of the own region at every call and each other one at every third. */
    fun sendPings() {
        if (!isUp) return
        pings++
        val message = ping()
        for ((index, link) in openLinks(this).withIndex()) {
            val peer = link.endOf(this)
            val isDue =
                Peers().regionOf(peer) == RegionId(region) ||
                    index % PINGS_PER_REMOTE_PING == pings % PINGS_PER_REMOTE_PING
            if (isDue) peer.send(message)
        }
    }

    fun tick() {
        if (!isUp) return
        published.tick()
        sync.tick()
    }

    /** Reads what changed, or everything if it has no state yet, as a reader of the source does. */
    fun readSource() {
        if (!isUp) return
        val after = PREFIXES.minOf { sync.asOf(it) }
        val isRestored = after > 0L && SourcePosition.eraOf(after) < SourcePosition.eraOf(source.revision)
        if (isRestored) reconcileAt = time.now() + SourceFollower.RECONCILE_DELAY
        val readsAll = after == 0L || isRestored || time.now() >= reconcileAt
        if (readsAll && !isRestored) reconcileAt = Duration.INFINITE
        for (prefix in PREFIXES) {
            if (readsAll) {
                sync.readAll(prefix, source.present(prefix), source.revision)
            } else {
                sync.readChanges(prefix, after, source.changesAfter(after, prefix), source.revision)
            }
        }
        sync.confirmed()
    }

    fun received(peer: StatePeer, message: PeerMessage) {
        if (!isUp) return
        when (message) {
            is PeerMessage.Ping -> sync.pinged(peer, message)
            is PeerMessage.SectionSnapshot -> sync.received(peer, message)
            is PeerMessage.ItemUpdates -> sync.received(peer, message)
            is PeerMessage.SectionRequest -> sync.sectionsRequested(peer, message)
            else -> error("not a message of the published state: $message")
        }
    }

    override fun toString() = "daemon $number of $failureDomain"

    private inner class Peers : PeerGroup {
        override fun sessions(): Collection<StatePeer> = openLinks(this@SimulatedDaemon).map {
            it.endOf(this@SimulatedDaemon)
        }

        override fun regionOf(peer: StatePeer): RegionId? = peer.failureDomain?.let {
            RegionId(it.value.substringBefore('-'))
        }

        override val ownRegion = RegionId(region)
    }

    /** Values are `config:N`, with any padding behind another colon, `out` or `target:STATE:REPORTS:START`. */
    private object SimulatedItems : PublishedItemDecoder {
        override fun decode(item: SourceItem): PublishedItem {
            val parts = checkNotNull(item.value).decodeToString().split(':')
            return when (parts[0]) {
                "config" -> PublishedItem.Configuration(
                    RoutingVersion(parts[1].toLong(), emptyList(), emptyMap(), LIMITS),
                )
                "out" -> PublishedItem.TakenOut(FailureDomainId(item.key))
                else -> PublishedItem.Target(
                    entry(item.key, parts[1] == "leaving", parts[2].toLong(), parts[3].toLong()),
                )
            }
        }

        private fun entry(key: String, leaving: Boolean, reports: Long, startedAt: Long) = TargetEntry(
            TargetId(key),
            ServiceId("s"),
            "192.0.2.1",
            80,
            FailureDomainId("a"),
            "v1",
            12,
            leaving,
            Duration.ZERO,
            startedAt,
            reports,
        )
    }

    companion object {
        const val OPERATOR_PREFIX = "o/"
        const val TARGET_PREFIX = "t/"
        val PREFIXES = listOf(OPERATOR_PREFIX, TARGET_PREFIX)
        private const val PINGS_PER_REMOTE_PING = 3
        private val NO_LOAD = PeerMessage.LoadReport(0, 0, 1, 0, false)
        private val LIMITS = CallerLimits(1, 1, 1.seconds, 1.seconds)
    }
}
