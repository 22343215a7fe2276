package kingcuptide.bench.requests

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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Layout of the fleet of a run. Only the hosts of [SERVICE] have targets; the others are entries.
 *
 * @property targetsPerDomain number of targets of the service in each failure domain
 */
data class FleetShape(
    val regionOfDomain: List<String>,
    val targetsPerDomain: List<Int>,
    val entriesPerDomain: Int,
    val latencyBetweenDomains: Duration = 1.5.milliseconds,
    val latencyBetweenRegions: Duration = 10.milliseconds,
) {
    /** Number of targets of the service. */
    val targets: Int get() = targetsPerDomain.sum()

    companion object {
        /** The service whose requests are run. */
        val SERVICE: ServiceId = ServiceId("rounds")

        /** Six failure domains in three regions, one target of the service in each. */
        val GEORGIA: FleetShape =
            FleetShape(
                regionOfDomain = listOf("north-ga", "north-ga", "central-ga", "central-ga", "south-ga", "south-ga"),
                targetsPerDomain = List(6) { 1 },
                entriesPerDomain = 3,
            )

        /** Seven failure domains in two regions, 17 targets unevenly distributed. */
        val LARGE: FleetShape =
            FleetShape(
                regionOfDomain = listOf("east", "east", "east", "east", "west", "west", "west"),
                targetsPerDomain = listOf(3, 3, 2, 1, 3, 3, 2),
                entriesPerDomain = 22,
            )
    }
}

/** One host: the actual state of its daemon's process and of its target, which others know only after a lag. */
class FakeHost(
    val entry: HostEntry,
    val target: FakeTarget?,
) {
    /** Whether the daemon's process runs. */
    var isUp: Boolean = true

    /** Time at which the daemon last went down. */
    var downSince: Duration? = null

    /** Time at which the daemon last started after being down. */
    var upSince: Duration? = null

    /** Time at which the daemon began to leave; null if it is not leaving. */
    var leavingSince: Duration? = null

    /** Events deferred while the process is frozen; null while it runs. */
    var frozenEvents: MutableList<() -> Unit>? = null

    /** Time at which the process last resumed after a freeze. */
    var wokeAt: Duration? = null

    /** Incarnation of the daemon's process. */
    var incarnation: Incarnation = Incarnation(1)
}

/** Hosts, links and what each daemon knows of the others, which lags behind their actual state. */
class FakeFleet(
    val time: VirtualTime,
    val shape: FleetShape,
    targetShape: TargetShape,
    private val random: Random,
) {
    private class PendingCall(val from: HostId, val to: HostId, val onLost: () -> Unit)

    private class Cut(val since: Duration)

    /** All hosts by name, in a fixed order. */
    val hosts: Map<HostId, FakeHost> = layOut(targetShape)

    /** The host list that all daemons have. */
    val hostList: HostList = HostList(1, hosts.values.map { it.entry })

    private val pendingCalls = LinkedHashSet<PendingCall>()
    private val cuts = HashMap<Pair<HostId, HostId>, Cut>()
    private val knowledgeLags = hosts.mapValues { MIN_LAG + (MAX_LAG - MIN_LAG) * random.nextDouble() }
    private val staleHosts = HashSet<HostId>()
    private val takenOut = ArrayList<Triple<Duration, FailureDomainId, Boolean>>()

    /** Returns the hosts that run a target of the service. */
    fun targets(): List<FakeHost> = hosts.values.filter { it.target != null }

    /** Returns the hosts of [failureDomain]. */
    fun inDomain(failureDomain: FailureDomainId): List<FakeHost> =
        hosts.values.filter { it.entry.failureDomain == failureDomain }

    /** Publishes whether [failureDomain] is taken out; each daemon receives it after its lag. */
    fun setTakenOut(failureDomain: FailureDomainId, out: Boolean) {
        takenOut += Triple(time.now(), failureDomain, out)
    }

    /** Makes [host] see no failure domain as taken out from now on. */
    fun makeStale(host: HostId) {
        staleHosts += host
    }

    /** Returns whether [failureDomain] is taken out as far as [observer] knows. */
    fun isTakenOut(observer: HostId, failureDomain: FailureDomainId): Boolean {
        if (observer in staleHosts) return false
        val known = time.now() - knowledgeLags.getValue(observer)
        return takenOut.lastOrNull { it.second == failureDomain && it.first <= known }?.third ?: false
    }

    /** Cuts the link for frames from [from] to [to]; its calls are lost after [LOSS_DETECTION]. */
    fun cut(from: HostId, to: HostId) {
        cuts[from to to] = Cut(time.now())
        time.after(LOSS_DETECTION) { loseCalls { it.connects(from, to) && cuts[from to to] != null } }
    }

    /** Repairs the link for frames from [from] to [to]. */
    fun repair(from: HostId, to: HostId) {
        cuts.remove(from to to)
    }

    /** Stops the daemon and the target of [host] as a loss of power does: peers detect it after [LOSS_DETECTION]. */
    fun losePower(host: FakeHost) {
        stopDaemon(host)
        host.target?.kill()
        time.after(LOSS_DETECTION) { loseCalls { it.to == host.entry.host } }
    }

    /** Kills the daemon's process only; the host resets its connections, and the target stops their requests. */
    fun killDaemon(host: FakeHost) {
        stopDaemon(host)
        time.after(1.milliseconds) { loseCalls { it.to == host.entry.host || it.from == host.entry.host } }
    }

    /** Starts the daemon of [host] again, and its target if that is down. */
    fun start(host: FakeHost) {
        host.isUp = true
        host.upSince = time.now()
        host.leavingSince = null
        host.incarnation = Incarnation(host.incarnation.value + 1)
        if (host.target?.isUp == false) host.target.start()
    }

    /** Suspends the daemon's process; calls to it are lost if it is still frozen after [LOSS_DETECTION]. */
    fun freeze(host: FakeHost) {
        host.frozenEvents = ArrayList()
        time.after(LOSS_DETECTION) { if (host.frozenEvents != null) loseCalls { it.to == host.entry.host } }
    }

    /** Resumes the daemon's process, which handles the deferred events at once. */
    fun wake(host: FakeHost) {
        val deferred = host.frozenEvents.orEmpty()
        host.frozenEvents = null
        host.wokeAt = time.now()
        deferred.forEach { it() }
    }

    /** Runs [action] on the daemon of [host] after [delay], later if it is frozen, never if that process has ended. */
    fun onDaemon(host: FakeHost, delay: Duration, action: () -> Unit) {
        val incarnation = host.incarnation
        time.after(delay) { runOnIncarnation(host, incarnation, action) }
    }

    /**
     * Sends the frame of a call; [onDelivered] runs at the receiver. [onUnreachable] runs if the connection attempt
     * fails, and [onLost] if the connection breaks later, unless the returned function was called before.
     */
    fun call(
        from: FakeHost,
        to: FakeHost,
        onUnreachable: () -> Unit,
        onLost: () -> Unit,
        onDelivered: () -> Unit,
    ): () -> Unit {
        val outage = outageSince(from, to)
        if (outage != null && time.now() - outage >= LOSS_DETECTION) {
            onDaemon(from, CONNECT_TIMEOUT, onUnreachable)
            return {}
        }
        val call = PendingCall(from.entry.host, to.entry.host) { onDaemon(from, Duration.ZERO, onLost) }
        pendingCalls += call
        send(from, to, onDelivered)
        return { pendingCalls.remove(call) }
    }

    /** Sends one frame; it is lost if the link is cut or the receiver is down. */
    fun send(from: FakeHost, to: FakeHost, onDelivered: () -> Unit) {
        if ((from.entry.host to to.entry.host) in cuts) return
        val incarnation = to.incarnation
        time.after(latency(from.entry, to.entry)) { runOnIncarnation(to, incarnation, onDelivered) }
    }

    /** Returns what the daemon of [observer] knows of the fleet. */
    fun viewOf(observer: FakeHost): FleetView = View(observer)

    private fun stopDaemon(host: FakeHost) {
        host.isUp = false
        host.downSince = time.now()
        host.frozenEvents = null
    }

    private fun runOnIncarnation(host: FakeHost, incarnation: Incarnation, action: () -> Unit) {
        if (!host.isUp || host.incarnation != incarnation) return
        val deferred = host.frozenEvents
        if (deferred == null) action() else deferred += { runOnIncarnation(host, incarnation, action) }
    }

    private fun PendingCall.connects(one: HostId, other: HostId): Boolean =
        (from == one && to == other) || (from == other && to == one)

    private fun loseCalls(condition: (PendingCall) -> Boolean) {
        val lost = pendingCalls.filter(condition)
        pendingCalls.removeAll(lost.toSet())
        lost.forEach { it.onLost() }
    }

    private fun outageSince(from: FakeHost, to: FakeHost): Duration? {
        val cut = cuts[from.entry.host to to.entry.host] ?: cuts[to.entry.host to from.entry.host]
        return cut?.since ?: to.downSince.takeIf { !to.isUp }
    }

    private fun latency(from: HostEntry, to: HostEntry): Duration = when {
        from.host == to.host -> Duration.ZERO
        from.failureDomain == to.failureDomain -> LATENCY_WITHIN_DOMAIN
        from.region == to.region -> shape.latencyBetweenDomains
        else -> shape.latencyBetweenRegions
    }

    private fun layOut(targetShape: TargetShape): Map<HostId, FakeHost> {
        val hosts = shape.regionOfDomain.flatMapIndexed { domain, region ->
            List(maxOf(shape.entriesPerDomain, shape.targetsPerDomain[domain])) {
                hostOf(domain, region, it, targetShape)
            }
        }
        return hosts.associateByTo(LinkedHashMap()) { it.entry.host }
    }

    private fun hostOf(domain: Int, region: String, number: Int, targetShape: TargetShape): FakeHost {
        val isTarget = number < shape.targetsPerDomain[domain]
        val entry = HostEntry(
            host = HostId("d$domain-h$number"),
            ip = "127.0.0.1",
            peerPort = 0,
            httpPort = 0,
            failureDomain = FailureDomainId("d$domain"),
            region = RegionId(region),
            service = if (isTarget) FleetShape.SERVICE else ServiceId("other"),
        )
        return FakeHost(entry, if (isTarget) FakeTarget(time, targetShape, random) else null)
    }

    private inner class View(private val observer: FakeHost) : FleetView {
        override val self: HostEntry get() = observer.entry
        override val hostList: HostList get() = this@FakeFleet.hostList

        override fun entry(host: HostId): HostEntry? = hosts[host]?.entry

        override fun liveness(host: HostId): Liveness {
            if (host == self.host) return Liveness.ALIVE
            val seen = hosts.getValue(host)
            val known = time.now() - knowledgeLags.getValue(observer.entry.host)
            val down = seen.downSince?.let { it <= known } ?: false
            val up = seen.upSince?.let { it <= known && it >= (seen.downSince ?: it) } ?: false
            return when {
                down && !up -> Liveness.DEAD
                seen.leavingSince?.let { it <= known } ?: false -> Liveness.LEAVING
                else -> Liveness.ALIVE
            }
        }

        override fun incarnation(host: HostId): Incarnation = hosts.getValue(host).incarnation
    }

    /** Network latencies and timeouts, and bounds of the lag of what a daemon knows of others. */
    companion object {
        /** Time after which a broken connection is detected. */
        val LOSS_DETECTION: Duration = 300.milliseconds

        /** Time after which a connection attempt fails. */
        val CONNECT_TIMEOUT: Duration = 100.milliseconds
        private val LATENCY_WITHIN_DOMAIN = 0.25.milliseconds
        private val MIN_LAG = 300.milliseconds
        private val MAX_LAG = 2_000.milliseconds
    }
}
