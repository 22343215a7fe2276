package kingcuptide.coordination.request

import kingcuptide.coordination.connection.GateLoad
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostState
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.process.ResultCode
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the host for a request at the entry, with knowledge that may be old: the gate beside the target has the last
 * word, so a wrong choice costs a hop and no promise. Thread-safe; no call waits.
 */
public interface TargetChooser {
    /** Returns the host to send the request to. */
    public fun choose(request: ChoiceRequest): TargetChoice

    /** Records that an attempt at [host] begins. */
    public fun begin(host: HostId)

    /** Records that the attempt at [host] ended; [load] is the gate's word that came with the answer or refusal. */
    public fun finish(host: HostId, outcome: AttemptOutcome, load: GateLoad? = null)

    /** Returns for each host of the service whether it could take the request at this moment. */
    public fun explain(request: ChoiceRequest): List<CandidateReport>
}

/** Creates the chooser of the daemon that [view] is of; [random] is used under a lock. */
public fun targetChooser(
    view: FleetView,
    clock: Clock,
    random: Random,
    settings: ChooserSettings = ChooserSettings(),
    counters: RequestCounters = RequestCounters.NONE,
): TargetChooser = WeighingChooser(view, clock, random, settings, counters)

private class WeighingChooser(
    private val view: FleetView,
    private val clock: Clock,
    private val random: Random,
    private val settings: ChooserSettings,
    private val counters: RequestCounters,
) : TargetChooser {
    private val startedAt = clock.now()
    private val records = ConcurrentHashMap<HostId, HostRecord>()

    @Volatile
    private var index = HostIndex(view.hostList)

    @Volatile
    private var hostsAtStart = index.hosts

    override fun choose(request: ChoiceRequest): TargetChoice {
        val now = clock.now()
        val candidates = candidates(request, now)
        val usable = candidates.filter { it.code == null && it.entry.host !in request.tried }
        probe(candidates, request, now)?.let { return TargetChoice.Chosen(it) }
        if (usable.isEmpty()) return lastResort(candidates, request)
        return TargetChoice.Chosen(pick(usable, request, now).entry)
    }

    override fun begin(host: HostId) = record(host, clock.now()).begin()

    override fun finish(host: HostId, outcome: AttemptOutcome, load: GateLoad?) {
        val now = clock.now()
        val record = records[host] ?: return
        val failing = record.finish(outcome, load, now)
        if (!failing || record.isAside(now) || !maySetAside(host, now)) return
        synchronized(random) { record.setAside(now, random) }
        counters.hostEjected()
    }

    override fun explain(request: ChoiceRequest): List<CandidateReport> =
        candidates(request, clock.now()).map { CandidateReport(it.entry, it.code) }

    private fun candidates(request: ChoiceRequest, now: Duration): List<Candidate> =
        currentIndex().hostsOf(request.service).map { entry ->
            val record = record(entry.host, now)
            val code = refusalOf(entry, request, record, now)
            Candidate(entry, record, code, if (code == null) record.weight(now, request.slots) else 0.0)
        }

    private fun refusalOf(entry: HostEntry, request: ChoiceRequest, record: HostRecord, now: Duration): ResultCode? {
        val liveness = view.liveness(entry.host)
        val outOfUse = request.isTakenOut(entry.failureDomain) || liveness == Liveness.DEAD
        record.sight(view.incarnation(entry.host), now)
        record.noteUse(outOfUse, now)
        return when {
            entry.region !in request.homeRegions -> ResultCode.WRONG_REGION
            request.isTakenOut(entry.failureDomain) -> ResultCode.FAILURE_DOMAIN_TAKEN_OUT
            entry.state == HostState.LEAVING || liveness == Liveness.LEAVING -> ResultCode.DRAINING
            liveness == Liveness.DEAD -> ResultCode.PEER_UNREACHABLE
            record.isAside(now) -> ResultCode.TARGET_DOWN
            else -> null
        }
    }

    /** When few hosts seem usable, this daemon's own view may be wrong: a host believed dead is tried now and then. */
    private fun probe(candidates: List<Candidate>, request: ChoiceRequest, now: Duration): HostEntry? {
        val allowed = candidates.filter { it.code == null || it.code in BELIEVED_DEAD }
        val usable = allowed.count { it.code == null }
        if (usable == 0 || request.tried.isNotEmpty()) return null
        if (usable * 100 >= allowed.size * settings.panicPercent) return null
        return allowed.firstOrNull { it.code != null && it.record.takeProbe(now) }?.entry
    }

    /** With no usable host left, any that is only believed dead is better than none. */
    private fun lastResort(candidates: List<Candidate>, request: ChoiceRequest): TargetChoice {
        val doubtful = candidates.filter { it.code in BELIEVED_DEAD && it.entry.host !in request.tried }
        if (doubtful.isNotEmpty()) return TargetChoice.Chosen(doubtful[draw(doubtful.size)].entry)
        val code = candidates.map { it.code }.firstOrNull { it != ResultCode.WRONG_REGION } ?: ResultCode.NO_TARGET
        val final = if (code in BELIEVED_DEAD) ResultCode.NO_TARGET else code
        return TargetChoice.None(final, synchronized(random) { retryAfter(NO_TARGET_RETRY_AFTER, random) })
    }

    private fun pick(usable: List<Candidate>, request: ChoiceRequest, now: Duration): Candidate {
        val near = usable.filter { view.liveness(it.entry.host) != Liveness.SUSPECT }.ifEmpty { usable }
        if (request.tried.isNotEmpty()) return pickForRetry(near, request, now)
        val byDomain = near.groupBy { it.entry.failureDomain }
        val shares = shares(byDomain, request, now)
        val locality = drawLocality(shares)
        val inLocality = near.filter { localityOf(it.entry) == locality }.ifEmpty { near }
        return pickOfTwo(inLocality, now) { candidate -> weightOf(candidate, locality, shares, byDomain) }
    }

    /** What kept one target from taking a request may hold in all of its failure domain, so a retry goes elsewhere. */
    private fun pickForRetry(usable: List<Candidate>, request: ChoiceRequest, now: Duration): Candidate {
        val triedDomains = request.tried.mapNotNullTo(HashSet()) { view.entry(it)?.failureDomain }
        val elsewhere = usable.filter { it.entry.failureDomain !in triedDomains }.ifEmpty { usable }
        val isFirstRetry = request.tried.size == 1
        val inRegion = elsewhere.filter { isFirstRetry && it.entry.region == view.self.region }
        return pickOfTwo(inRegion.ifEmpty { elsewhere }, now) { it.weight }
    }

    private fun shares(
        byDomain: Map<FailureDomainId, List<Candidate>>,
        request: ChoiceRequest,
        now: Duration,
    ): LocalityShares {
        val entries = currentIndex()
            .entriesByDomain(now) { it == view.self.host || view.liveness(it) != Liveness.DEAD }
            .filterValues { it.region in request.homeRegions }
        val totalEntries = maxOf(1, entries.values.sumOf { it.count })
        val totalWeight = byDomain.values.sumOf { domain -> domain.sumOf { it.weight } }
        val domains = entries.map { (domain, count) ->
            val weight = byDomain[domain].orEmpty().sumOf { it.weight }
            DomainShare(domain, count.region, count.count.toDouble() / totalEntries, weight / totalWeight)
        }
        return LocalityShares(domains, view.self.failureDomain, view.self.region)
    }

    private fun drawLocality(shares: LocalityShares): Locality {
        val drawn = drawShare()
        return when {
            drawn < shares.ownFailureDomain -> Locality.OWN_FAILURE_DOMAIN
            drawn < shares.ownFailureDomain + shares.ownRegionOnly -> Locality.OWN_REGION
            else -> Locality.OTHER_REGIONS
        }
    }

    /** Outside of the own failure domain, a host's chance follows what is left in its failure domain. */
    private fun weightOf(
        candidate: Candidate,
        locality: Locality,
        shares: LocalityShares,
        byDomain: Map<FailureDomainId, List<Candidate>>,
    ): Double {
        if (locality == Locality.OWN_FAILURE_DOMAIN) return candidate.weight
        val domain = candidate.entry.failureDomain
        val total = byDomain.getValue(domain).sumOf { it.weight }
        return maxOf(shares.left(domain), MIN_LEFT) * candidate.weight / total
    }

    private fun localityOf(entry: HostEntry): Locality = when {
        entry.failureDomain == view.self.failureDomain -> Locality.OWN_FAILURE_DOMAIN
        entry.region == view.self.region -> Locality.OWN_REGION
        else -> Locality.OTHER_REGIONS
    }

    private inline fun pickOfTwo(
        candidates: List<Candidate>,
        now: Duration,
        weightOf: (Candidate) -> Double,
    ): Candidate {
        if (candidates.size == 1) return candidates.single()
        val weights = candidates.map(weightOf)
        val first = drawIndex(weights, without = -1)
        val second = drawIndex(weights, without = first)
        return lessBurdened(candidates[first], candidates[second], now)
    }

    /** The less burdened of two, but not always: what a host says of itself must not keep it from all requests. */
    private fun lessBurdened(first: Candidate, second: Candidate, now: Duration): Candidate {
        val ratio = second.burden(now) / first.burden(now)
        val odds = ratio.pow(CHOICE_SHARPNESS)
        return if (drawShare() < odds / (1 + odds)) first else second
    }

    private fun drawIndex(weights: List<Double>, without: Int): Int {
        val total = weights.sum() - (weights.getOrNull(without) ?: 0.0)
        var left = drawShare() * total
        for (index in weights.indices) {
            if (index == without) continue
            left -= weights[index]
            if (left < 0) return index
        }
        return weights.indices.last { it != without }
    }

    private fun maySetAside(host: HostId, now: Duration): Boolean {
        val service = currentIndex().entry(host)?.service ?: return false
        val hosts = currentIndex().hostsOf(service)
        val aside = hosts.count { records[it.host]?.isAside(now) ?: false }
        return (aside + 1) * 100 <= hosts.size * settings.maxAsidePercent
    }

    private fun currentIndex(): HostIndex {
        val hostList = view.hostList
        val known = index
        if (known.hostList === hostList) return known
        val fresh = HostIndex(hostList)
        index = fresh
        if (clock.now() - startedAt < settings.startUp) hostsAtStart = fresh.hosts
        records.keys.retainAll(fresh.hosts)
        return fresh
    }

    private fun record(host: HostId, now: Duration): HostRecord =
        records.computeIfAbsent(host) { HostRecord(settings, firstSight(host, now), view.incarnation(host)) }

    /** What was there before this daemon is no newcomer; what is on its own host is as new as itself. */
    private fun firstSight(host: HostId, now: Duration): Duration =
        when {
            host == view.self.host -> startedAt
            host in hostsAtStart -> startedAt - settings.slowStart
            else -> now
        }

    private fun draw(bound: Int): Int = synchronized(random) { random.nextInt(bound) }

    private fun drawShare(): Double = synchronized(random) { random.nextDouble() }

    private class Candidate(
        val entry: HostEntry,
        val record: HostRecord,
        val code: ResultCode?,
        val weight: Double,
    ) {
        fun burden(now: Duration): Double = record.burden(now) / weight
    }
}

private val BELIEVED_DEAD = setOf(ResultCode.PEER_UNREACHABLE, ResultCode.TARGET_DOWN)
private val NO_TARGET_RETRY_AFTER = 2.seconds
private const val CHOICE_SHARPNESS = 4.0
private const val MIN_LEFT = 1e-6
