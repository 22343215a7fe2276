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
 * Chooses the host for a request at the entry, from state that may be outdated. The gate beside the target makes the
 * final decision, so a wrong choice costs one network hop but violates no guarantee. Thread-safe; calls don't block.
 */
public interface TargetChooser {
    /** Returns the host to which the request is to be sent, or why there is none. */
    public fun choose(request: ChoiceRequest): TargetChoice

    /** Records the start of an attempt at [host]. */
    public fun begin(host: HostId)

    /** Records the end of an attempt at [host]; [load] is what the gate reported with the response or refusal. */
    public fun finish(host: HostId, outcome: AttemptOutcome, load: GateLoad? = null)

    /** Returns for each host of the service whether it can serve the request now. */
    public fun explain(request: ChoiceRequest): List<CandidateReport>
}

/** Creates a chooser for the daemon that has [view] of the fleet; [random] is used under a lock. */
public fun targetChooser(
    view: FleetView,
    clock: Clock,
    random: Random,
    settings: ChooserSettings = ChooserSettings(),
    counters: RequestCounters = RequestCounters.NONE,
): TargetChooser = WeightedChooser(view, clock, random, settings, counters)

private class WeightedChooser(
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
        hostToProbe(candidates, request, now)?.let { return TargetChoice.Chosen(it) }
        if (usable.isEmpty()) return chooseUnreachable(candidates, request)
        return TargetChoice.Chosen(pick(usable, request, now).entry)
    }

    override fun begin(host: HostId) = record(host, clock.now()).begin()

    override fun finish(host: HostId, outcome: AttemptOutcome, load: GateLoad?) {
        val now = clock.now()
        val record = records[host] ?: return
        val mustEject = record.finish(outcome, load, now)
        if (!mustEject || record.isEjected(now) || !mayEject(host, now)) return
        synchronized(random) { record.eject(now, random) }
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
        val isUnavailable = request.isTakenOut(entry.failureDomain) || liveness == Liveness.DEAD
        record.recordIncarnation(view.incarnation(entry.host), now)
        record.recordAvailability(isUnavailable, now)
        return when {
            entry.region !in request.homeRegions -> ResultCode.WRONG_REGION
            request.isTakenOut(entry.failureDomain) -> ResultCode.FAILURE_DOMAIN_TAKEN_OUT
            entry.state == HostState.LEAVING || liveness == Liveness.LEAVING -> ResultCode.DRAINING
            liveness == Liveness.DEAD -> ResultCode.PEER_UNREACHABLE
            record.isEjected(now) -> ResultCode.TARGET_DOWN
            else -> null
        }
    }

    /** If few hosts seem usable, this daemon's view may be wrong, so dead and ejected hosts are probed at intervals. */
    private fun hostToProbe(candidates: List<Candidate>, request: ChoiceRequest, now: Duration): HostEntry? {
        val allowed = candidates.filter { it.code == null || it.code in UNREACHABLE_CODES }
        val usable = allowed.count { it.code == null }
        if (usable == 0 || request.tried.isNotEmpty()) return null
        if (usable * 100 >= allowed.size * settings.panicThresholdPercent) return null
        return allowed.firstOrNull { it.code != null && it.record.tryAcquireProbe(now) }?.entry
    }

    /** Without a usable host, one that seems dead or is ejected is tried, since this daemon's view may be wrong. */
    private fun chooseUnreachable(candidates: List<Candidate>, request: ChoiceRequest): TargetChoice {
        val unreachable = candidates.filter { it.code in UNREACHABLE_CODES && it.entry.host !in request.tried }
        if (unreachable.isNotEmpty()) return TargetChoice.Chosen(unreachable[randomInt(unreachable.size)].entry)
        val code = candidates.map { it.code }.firstOrNull { it != ResultCode.WRONG_REGION } ?: ResultCode.NO_TARGET
        val refusalCode = if (code in UNREACHABLE_CODES) ResultCode.NO_TARGET else code
        return TargetChoice.None(refusalCode, synchronized(random) { retryAfter(NO_TARGET_RETRY_AFTER, random) })
    }

    private fun pick(usable: List<Candidate>, request: ChoiceRequest, now: Duration): Candidate {
        val unsuspected = usable.filter { view.liveness(it.entry.host) != Liveness.SUSPECT }.ifEmpty { usable }
        if (request.tried.isNotEmpty()) return pickForRetry(unsuspected, request, now)
        val byDomain = unsuspected.groupBy { it.entry.failureDomain }
        val shares = shares(byDomain, request, now)
        val locality = pickLocality(shares)
        val inLocality = unsuspected.filter { localityOf(it.entry) == locality }.ifEmpty { unsuspected }
        return pickOfTwo(inLocality, now) { candidate -> weightOf(candidate, locality, shares, byDomain) }
    }

    /** A fault that affected one target may affect its whole failure domain, so a retry prefers other domains. */
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
            .aliveDaemonsByDomain(now) { it == view.self.host || view.liveness(it) != Liveness.DEAD }
            .filterValues { it.region in request.homeRegions }
        val totalEntries = maxOf(1, entries.values.sumOf { it.count })
        val totalWeight = byDomain.values.sumOf { domain -> domain.sumOf { it.weight } }
        val domains = entries.map { (domain, daemons) ->
            val weight = byDomain[domain].orEmpty().sumOf { it.weight }
            DomainShare(domain, daemons.region, daemons.count.toDouble() / totalEntries, weight / totalWeight)
        }
        return LocalityShares(domains, view.self.failureDomain, view.self.region)
    }

    private fun pickLocality(shares: LocalityShares): Locality {
        val fraction = randomFraction()
        return when {
            fraction < shares.ownFailureDomain -> Locality.OWN_FAILURE_DOMAIN
            fraction < shares.ownFailureDomain + shares.ownRegionOnly -> Locality.OWN_REGION
            else -> Locality.OTHER_REGIONS
        }
    }

    /** Outside the own failure domain, a host's weight is its share of the spare capacity of its failure domain. */
    private fun weightOf(
        candidate: Candidate,
        locality: Locality,
        shares: LocalityShares,
        byDomain: Map<FailureDomainId, List<Candidate>>,
    ): Double {
        if (locality == Locality.OWN_FAILURE_DOMAIN) return candidate.weight
        val domain = candidate.entry.failureDomain
        val total = byDomain.getValue(domain).sumOf { it.weight }
        return maxOf(shares.spareCapacity(domain), MIN_SPARE_CAPACITY) * candidate.weight / total
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
        val first = pickWeightedIndex(weights, excluded = -1)
        val second = pickWeightedIndex(weights, excluded = first)
        return pickLessLoaded(candidates[first], candidates[second], now)
    }

    /** Prefers the less loaded host, at random: a load that a host reports must not keep all requests from it. */
    private fun pickLessLoaded(first: Candidate, second: Candidate, now: Duration): Candidate {
        val loadRatio = second.loadScore(now) / first.loadScore(now)
        val odds = loadRatio.pow(LOAD_RATIO_EXPONENT)
        return if (randomFraction() < odds / (1 + odds)) first else second
    }

    private fun pickWeightedIndex(weights: List<Double>, excluded: Int): Int {
        val total = weights.sum() - (weights.getOrNull(excluded) ?: 0.0)
        var remaining = randomFraction() * total
        for (index in weights.indices) {
            if (index == excluded) continue
            remaining -= weights[index]
            if (remaining < 0) return index
        }
        return weights.indices.last { it != excluded }
    }

    private fun mayEject(host: HostId, now: Duration): Boolean {
        val service = currentIndex().entry(host)?.service ?: return false
        val hosts = currentIndex().hostsOf(service)
        val ejectedHosts = hosts.count { records[it.host]?.isEjected(now) ?: false }
        return (ejectedHosts + 1) * 100 <= hosts.size * settings.maxEjectedPercent
    }

    private fun currentIndex(): HostIndex {
        val hostList = view.hostList
        val cached = index
        if (cached.hostList === hostList) return cached
        val refreshed = HostIndex(hostList)
        index = refreshed
        if (clock.now() - startedAt < settings.startupWindow) hostsAtStart = refreshed.hosts
        records.keys.retainAll(refreshed.hosts)
        return refreshed
    }

    private fun record(host: HostId, now: Duration): HostRecord =
        records.computeIfAbsent(host) { HostRecord(settings, slowStartAt(host, now), view.incarnation(host)) }

    /** Hosts listed when this daemon started get no slow start; the target on its own host starts with this daemon. */
    private fun slowStartAt(host: HostId, now: Duration): Duration =
        when {
            host == view.self.host -> startedAt
            host in hostsAtStart -> startedAt - settings.slowStart
            else -> now
        }

    private fun randomInt(bound: Int): Int = synchronized(random) { random.nextInt(bound) }

    private fun randomFraction(): Double = synchronized(random) { random.nextDouble() }

    private class Candidate(
        val entry: HostEntry,
        val record: HostRecord,
        val code: ResultCode?,
        val weight: Double,
    ) {
        fun loadScore(now: Duration): Double = record.loadScore(now) / weight
    }
}

private val UNREACHABLE_CODES = setOf(ResultCode.PEER_UNREACHABLE, ResultCode.TARGET_DOWN)
private val NO_TARGET_RETRY_AFTER = 2.seconds
private const val LOAD_RATIO_EXPONENT = 4.0
private const val MIN_SPARE_CAPACITY = 1e-6
