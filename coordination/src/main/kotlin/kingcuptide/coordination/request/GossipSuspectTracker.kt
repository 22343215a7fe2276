package kingcuptide.coordination.request

import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.QuarantineMessage
import kingcuptide.coordination.connection.SuspectRecord
import kingcuptide.coordination.connection.SuspectsDigest
import kingcuptide.coordination.connection.SuspectsUpdate
import kingcuptide.coordination.connection.TargetCrash
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.version.FleetLimits
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Disseminates suspect records by gossip and anti-entropy: new records go immediately to a few daemons, which forward
 * them; missed records are found by comparing digests with one daemon at a time. A record with home regions is sent
 * only to daemons in those regions.
 */
internal class GossipSuspectTracker(
    private val view: FleetView,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val random: Random,
    private val settings: SuspectSettings,
    private val counters: RequestCounters,
) : SuspectTracker {
    private val table = SuspectTable(settings)
    private val recentResponses = RecentResponses(settings.responseRetention)
    private val unsent = ArrayList<SuspectRecord>()
    private var crashCount = 0L
    private var nextExchangeAt = Duration.ZERO

    @Synchronized
    override fun verdict(fingerprint: Fingerprint, reported: Boolean): Verdict {
        val verdict = table.verdict(fingerprint)
        val isSuspectByReport =
            reported && verdict == Verdict.CLEAR && !recentResponses.contains(fingerprint, clock.now())
        return if (isSuspectByReport) Verdict.SUSPECT else verdict
    }

    @Synchronized
    override fun answered(fingerprint: Fingerprint) {
        recentResponses.add(fingerprint, clock.now())
        table.clear(fingerprint)
    }

    @Synchronized
    override fun targetCrashed(inFlight: Map<Fingerprint, HomeRegions>) {
        val now = clock.now()
        val crash = TargetCrash(view.self.host, incarnation.value * CRASH_IDS_PER_INCARNATION + crashCount++)
        for ((fingerprint, homeRegions) in inFlight.entries.take(MAX_SUSPECTS_PER_CRASH)) {
            if (isCleared(fingerprint, now)) continue
            unsent += table.add(fingerprint, crash, homeRegions.regionSet(), now)
            counters.verdictChanged(table.verdict(fingerprint))
        }
    }

    @Synchronized
    override fun receive(from: HostId, message: QuarantineMessage): List<Outbound> =
        when (message) {
            is SuspectsUpdate -> receiveUpdate(from, message)
            is SuspectsDigest -> receiveDigest(from, message)
        }

    @Synchronized
    override fun tick(): List<Outbound> {
        val now = clock.now()
        table.removeExpired(now)
        recentResponses.removeExpired(now)
        val update = disseminate(unsent.toList(), settings.hops, excluded = null)
        unsent.clear()
        return update + exchange(now)
    }

    @Synchronized
    override fun configure(limits: FleetLimits) {
        table.quarantineMs = limits.quarantineMs
    }

    @Synchronized
    override fun counts(): Map<Verdict, Int> = table.counts()

    /** Whether a recent response clears [fingerprint]; each response does so only once. */
    private fun isCleared(fingerprint: Fingerprint, now: Duration): Boolean {
        val answered = recentResponses.contains(fingerprint, now)
        recentResponses.remove(fingerprint)
        return answered && table.verdict(fingerprint) == Verdict.CLEAR
    }

    private fun HomeRegions.regionSet(): Set<RegionId> = when (this) {
        HomeRegions.Anywhere -> emptySet()
        is HomeRegions.Only -> regions
    }

    private fun receiveUpdate(from: HostId, update: SuspectsUpdate): List<Outbound> {
        val now = clock.now()
        val added = update.records.take(MAX_RECORDS_PER_MESSAGE).filter { isAllowedHere(it) && table.merge(it, now) }
        added.forEach { counters.verdictChanged(table.verdict(it.fingerprint)) }
        val hopsLeft = minOf(update.hopsLeft, settings.hops)
        return if (hopsLeft > 0) disseminate(added, hopsLeft - 1, excluded = from) else emptyList()
    }

    private fun receiveDigest(from: HostId, message: SuspectsDigest): List<Outbound> {
        val entry = view.entry(from) ?: return emptyList()
        val shared = sharedWith(entry)
        if (digestOf(shared) == message.digest || shared.isEmpty()) return emptyList()
        val sent = shared.shuffled(random).take(MAX_RECORDS_PER_MESSAGE)
        return listOf(Outbound(from, SuspectsUpdate(sent, hopsLeft = 0)))
    }

    private fun exchange(now: Duration): List<Outbound> {
        if (now < nextExchangeAt) return emptyList()
        nextExchangeAt = now + settings.exchangeInterval * (0.5 + random.nextDouble())
        val peer = peers(excluded = null).randomOrNull(random) ?: return emptyList()
        val shared = sharedWith(peer)
        return listOf(Outbound(peer.host, SuspectsDigest(digestOf(shared), shared.size)))
    }

    private fun disseminate(records: List<SuspectRecord>, hopsLeft: Int, excluded: HostId?): List<Outbound> =
        records.groupBy { it.homeRegions }.flatMap { (homeRegions, group) ->
            val update = SuspectsUpdate(group.take(MAX_RECORDS_PER_MESSAGE), hopsLeft)
            val allowed = peers(excluded).filter { homeRegions.isEmpty() || it.region in homeRegions }
            allowed.shuffled(random).take(settings.fanout).map { Outbound(it.host, update) }
        }

    /** Records that both this daemon and [peer] may store. */
    private fun sharedWith(peer: HostEntry): List<SuspectRecord> =
        table.recordsFor(peer.region, clock.now()).filter { isAllowedHere(it) }

    private fun peers(excluded: HostId?): List<HostEntry> =
        view.hostList.hosts.filter {
            it.host != view.self.host && it.host != excluded && view.liveness(it.host) != Liveness.DEAD
        }

    private fun isAllowedHere(record: SuspectRecord): Boolean = isAllowedIn(record, view.self.region)

    private fun isAllowedIn(record: SuspectRecord, region: RegionId): Boolean =
        record.homeRegions.isEmpty() || region in record.homeRegions

    private fun digestOf(records: List<SuspectRecord>): Long =
        records.fold(0L) { sum, record -> sum + hashOf(record) }

    private fun hashOf(record: SuspectRecord): Long =
        record.deaths.fold(record.fingerprint.value) { hash, crash ->
            hash + DIGEST_PRIME * (crash.host.hashCode() * DIGEST_PRIME + crash.number)
        }

    private companion object {
        const val CRASH_IDS_PER_INCARNATION = 1_000_000L
        const val MAX_SUSPECTS_PER_CRASH = 64
        const val MAX_RECORDS_PER_MESSAGE = 32
        const val DIGEST_PRIME = 0x100000001b3L
    }
}
