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
 * Spreads suspect records: new ones at once to a few daemons, which send them on, and the rest by comparing digests with
 * one daemon at a time. A record with home regions goes only to daemons there.
 */
internal class SpreadingTracker(
    private val view: FleetView,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val random: Random,
    private val settings: SuspectSettings,
    private val counters: RequestCounters,
) : SuspectTracker {
    private val table = SuspectTable(settings)
    private val answeredAt = AnsweredMemory(settings.answeredMemory)
    private val unsent = ArrayList<SuspectRecord>()
    private var deathCount = 0L
    private var nextExchange = Duration.ZERO

    @Synchronized
    override fun verdict(fingerprint: Fingerprint, reported: Boolean): Verdict {
        val verdict = table.verdict(fingerprint)
        val doubtful = reported && verdict == Verdict.CLEAR && !answeredAt.contains(fingerprint, clock.now())
        return if (doubtful) Verdict.SUSPECT else verdict
    }

    @Synchronized
    override fun answered(fingerprint: Fingerprint) {
        answeredAt.add(fingerprint, clock.now())
        table.clear(fingerprint)
    }

    @Synchronized
    override fun targetCrashed(inFlight: Map<Fingerprint, HomeRegions>) {
        val now = clock.now()
        val death = TargetCrash(view.self.host, incarnation.value * DEATHS_PER_INCARNATION + deathCount++)
        for ((fingerprint, homeRegions) in inFlight.entries.take(MAX_SUSPECTS_PER_DEATH)) {
            if (isCleared(fingerprint, now)) continue
            unsent += table.add(fingerprint, death, homeRegions.names(), now)
            counters.verdictChanged(table.verdict(fingerprint))
        }
    }

    @Synchronized
    override fun receive(from: HostId, message: QuarantineMessage): List<Outbound> =
        when (message) {
            is SuspectsUpdate -> receiveNews(from, message)
            is SuspectsDigest -> receiveDigest(from, message)
        }

    @Synchronized
    override fun tick(): List<Outbound> {
        val now = clock.now()
        table.forgetEnded(now)
        answeredAt.forgetOld(now)
        val news = spread(unsent.toList(), settings.hops, without = null)
        unsent.clear()
        return news + exchange(now)
    }

    @Synchronized
    override fun configure(limits: FleetLimits) {
        table.quarantineMs = limits.quarantineMs
    }

    @Synchronized
    override fun counts(): Map<Verdict, Int> = table.counts()

    /** An answer a short while ago speaks for a fingerprint, once. */
    private fun isCleared(fingerprint: Fingerprint, now: Duration): Boolean {
        val answered = answeredAt.contains(fingerprint, now)
        answeredAt.remove(fingerprint)
        return answered && table.verdict(fingerprint) == Verdict.CLEAR
    }

    private fun HomeRegions.names(): Set<RegionId> = when (this) {
        HomeRegions.Anywhere -> emptySet()
        is HomeRegions.Only -> regions
    }

    private fun receiveNews(from: HostId, news: SuspectsUpdate): List<Outbound> {
        val now = clock.now()
        val fresh = news.records.take(MAX_RECORDS_PER_MESSAGE).filter { isForHere(it) && table.merge(it, now) }
        fresh.forEach { counters.verdictChanged(table.verdict(it.fingerprint)) }
        val hopsLeft = minOf(news.hopsLeft, settings.hops)
        return if (hopsLeft > 0) spread(fresh, hopsLeft - 1, without = from) else emptyList()
    }

    private fun receiveDigest(from: HostId, message: SuspectsDigest): List<Outbound> {
        val entry = view.entry(from) ?: return emptyList()
        val shared = sharedWith(entry)
        if (digestOf(shared) == message.digest || shared.isEmpty()) return emptyList()
        val sent = shared.shuffled(random).take(MAX_RECORDS_PER_MESSAGE)
        return listOf(Outbound(from, SuspectsUpdate(sent, hopsLeft = 0)))
    }

    private fun exchange(now: Duration): List<Outbound> {
        if (now < nextExchange) return emptyList()
        nextExchange = now + settings.exchangeEvery * (0.5 + random.nextDouble())
        val peer = peers(without = null).randomOrNull(random) ?: return emptyList()
        val shared = sharedWith(peer)
        return listOf(Outbound(peer.host, SuspectsDigest(digestOf(shared), shared.size)))
    }

    private fun spread(records: List<SuspectRecord>, hopsLeft: Int, without: HostId?): List<Outbound> =
        records.groupBy { it.homeRegions }.flatMap { (homes, group) ->
            val news = SuspectsUpdate(group.take(MAX_RECORDS_PER_MESSAGE), hopsLeft)
            val allowed = peers(without).filter { homes.isEmpty() || it.region in homes }
            allowed.shuffled(random).take(settings.fanout).map { Outbound(it.host, news) }
        }

    /** Records that both this daemon and [peer] may hold. */
    private fun sharedWith(peer: HostEntry): List<SuspectRecord> =
        table.recordsFor(peer.region, clock.now()).filter { isForHere(it) }

    private fun peers(without: HostId?): List<HostEntry> =
        view.hostList.hosts.filter {
            it.host != view.self.host && it.host != without && view.liveness(it.host) != Liveness.DEAD
        }

    private fun isForHere(record: SuspectRecord): Boolean = isFor(record, view.self.region)

    private fun isFor(record: SuspectRecord, region: RegionId): Boolean =
        record.homeRegions.isEmpty() || region in record.homeRegions

    private fun digestOf(records: List<SuspectRecord>): Long =
        records.fold(0L) { sum, record -> sum + hashOf(record) }

    private fun hashOf(record: SuspectRecord): Long =
        record.deaths.fold(record.fingerprint.value) { hash, death ->
            hash + DIGEST_PRIME * (death.host.hashCode() * DIGEST_PRIME + death.number)
        }

    private companion object {
        const val DEATHS_PER_INCARNATION = 1_000_000L
        const val MAX_SUSPECTS_PER_DEATH = 64
        const val MAX_RECORDS_PER_MESSAGE = 32
        const val DIGEST_PRIME = 0x100000001b3L
    }
}
