package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kotlin.random.Random

/** A fleet of six hosts per failure domain, [targetsPerDomain] of them with [SERVICE], and two domains per region. */
internal class FixedFleet(targetsPerDomain: List<Int>, self: String) : FleetView {
    val states = HashMap<HostId, Liveness>()
    val incarnations = HashMap<HostId, Incarnation>()

    override val hostList = HostList(
        revision = 1,
        hosts = targetsPerDomain.flatMapIndexed { domain, count ->
            List(HOSTS_PER_DOMAIN) { entryOf(domain, it, if (it < count) SERVICE else ServiceId("other")) }
        },
    )
    override val self: HostEntry = hostList.hosts.first { it.host == HostId(self) }

    override fun entry(host: HostId): HostEntry? = hostList.hosts.firstOrNull { it.host == host }

    override fun liveness(host: HostId): Liveness = states[host] ?: Liveness.ALIVE

    override fun incarnation(host: HostId): Incarnation? = incarnations[host] ?: Incarnation(1)

    private fun entryOf(domain: Int, number: Int, service: ServiceId) = HostEntry(
        host = HostId("d$domain-h$number"),
        ip = "127.0.0.1",
        peerPort = 0,
        httpPort = 0,
        failureDomain = FailureDomainId("d$domain"),
        region = RegionId("r${domain / 2}"),
        service = service,
    )

    companion object {
        val SERVICE = ServiceId("rounds")
        const val HOSTS_PER_DOMAIN = 6
    }
}

/** A chooser over a [FixedFleet]. */
internal class ChooserFixture(targetsPerDomain: List<Int> = List(6) { 1 }, self: String = "d0-h5", seed: Long = 1) {
    val clock = ManualClock()
    val fleet = FixedFleet(targetsPerDomain, self)
    val chooser = targetChooser(fleet, clock, Random(seed))
    val takenOut = HashSet<FailureDomainId>()

    fun request(tried: Set<HostId> = emptySet(), home: HomeRegions = HomeRegions.Anywhere) =
        ChoiceRequest(FixedFleet.SERVICE, slots = 10, home, { it in takenOut }, tried)

    fun choose(request: ChoiceRequest = request()): HostEntry = (chooser.choose(request) as TargetChoice.Chosen).entry

    /** Sends [count] requests, one after another, and returns how many went to each failure domain. */
    fun distribute(count: Int, outcome: AttemptOutcome = AttemptOutcome.ANSWERED): Map<String, Int> =
        List(count) {
            val entry = choose()
            chooser.begin(entry.host)
            chooser.finish(entry.host, outcome)
            entry.failureDomain.value
        }.groupingBy { it }.eachCount()

    /** Records [count] attempts at [host] that end with [outcome]. */
    fun recordAttempts(host: String, count: Int, outcome: AttemptOutcome) = repeat(count) {
        chooser.begin(HostId(host))
        chooser.finish(HostId(host), outcome)
    }

    fun codeOf(host: String) = chooser.explain(request()).first { it.entry.host == HostId(host) }.code
}
