package kingcuptide.bench.requests

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.version.RouteSpec
import kingcuptide.coordination.version.ServiceSpec
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One run: a fleet, a policy and a load, all from one seed. */
class Scenario(
    val shape: FleetShape,
    val targetShape: TargetShape,
    seed: Long,
    plain: Boolean,
) {
    private val random = Random(seed)

    val time: VirtualTime = VirtualTime()
    val fleet: FakeFleet = FakeFleet(time, shape, targetShape, Random(random.nextLong()))
    val policy: Policy = if (plain) PlainPolicy(fleet, Random(random.nextLong())) else routed()
    val load: LoadRun = LoadRun(fleet, policy, Random(seed))

    /** Requests that all targets together can answer in a second. */
    val capacityPerSecond: Double = shape.targets * targetShape.slots / (targetShape.serviceTime / 1.seconds)

    /** Takes out [domain] as planned from [leaveAt] to [returnAt]; its targets restart cold halfway. */
    fun leaveAndReturn(domain: FailureDomainId, leaveAt: Duration, returnAt: Duration) {
        time.after(leaveAt) { fleet.setTakenOut(domain, true) }
        time.after(leaveAt + (returnAt - leaveAt) / 2) { restartTargets(domain) }
        time.after(returnAt) { fleet.setTakenOut(domain, false) }
    }

    /** Cuts the power of [domain] at [loseAt]; its hosts and targets start again, cold, at [returnAt]. */
    fun loseAndReturn(domain: FailureDomainId, loseAt: Duration, returnAt: Duration) {
        time.after(loseAt) { fleet.inDomain(domain).forEach(fleet::losePower) }
        time.after(returnAt) {
            for (host in fleet.inDomain(domain)) {
                fleet.start(host)
                policy.restarted(host)
            }
        }
    }

    /** Runs [load] and then waits [LoadRun.SETTLING] for its calls to end. */
    fun run(load: Load) {
        this.load.start(load)
        time.runUntil(load.until + LoadRun.SETTLING)
    }

    private fun restartTargets(domain: FailureDomainId) {
        for (host in fleet.inDomain(domain)) {
            host.target?.kill()
            host.target?.start()
        }
    }

    private fun routed(): RoutedPolicy = RoutedPolicy(
        fleet = fleet,
        service = ServiceSpec(
            slots = targetShape.slots,
            maxConnections = targetShape.maxConnections,
            coldSlots = targetShape.coldSlots,
            coldStartMs = targetShape.coldStart.inWholeMilliseconds,
        ),
        route = RouteSpec(service = FleetShape.SERVICE, pathPrefix = "/"),
        random = Random(random.nextLong()),
    )
}
