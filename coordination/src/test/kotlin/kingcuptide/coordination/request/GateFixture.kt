package kingcuptide.coordination.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.version.ServiceSpec
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A clock that changes only by calls of [advance]. */
internal class ManualClock(private var now: Duration = 1_000.seconds) : Clock {
    override fun now(): Duration = now

    fun advance(by: Duration) {
        now += by
    }
}

/** A gate whose clock and dependencies are controlled by the test. */
internal class GateFixture(
    spec: ServiceSpec = SPEC,
    seed: Long = 1,
) : GateDependencies {
    val clock = ManualClock()
    val decisions = ArrayList<Admission>()
    val crashes = ArrayList<Set<Fingerprint>>()
    val limitCuts = ArrayList<LimitCutReason>()
    var mayWork = true
    var takenOut = false
    var verdicts = HashMap<Fingerprint, Verdict>()

    private val counters = object : RequestCounters {
        override fun limitCut(reason: LimitCutReason) {
            limitCuts += reason
        }
    }
    val gate = admissionGate(HOME, spec, this, clock, Random(seed), GateSettings(), counters)
    private var nextFingerprint = 1L

    override fun canAcceptWork(): Boolean = mayWork

    override fun isTakenOut(): Boolean = takenOut

    override fun verdict(fingerprint: Fingerprint, reported: Boolean): Verdict =
        verdicts[fingerprint] ?: if (reported) Verdict.SUSPECT else Verdict.CLEAR

    override fun answered(fingerprint: Fingerprint) {
        verdicts.remove(fingerprint)
    }

    override fun targetCrashed(inFlight: Map<Fingerprint, HomeRegions>) {
        crashes += inFlight.keys
    }

    fun request(
        remaining: Duration = 2.seconds,
        homeRegions: HomeRegions = HomeRegions.Anywhere,
        fingerprint: Fingerprint = Fingerprint(nextFingerprint++),
    ) = AdmissionRequest(ROUTE, homeRegions, remaining, fingerprint)

    fun admit(request: AdmissionRequest = request()): Admission = gate.tryAdmit(request) { decisions += it }

    fun ticket(request: AdmissionRequest = request()): AdmissionTicket = (admit(request) as Admission.Admitted).ticket

    /** Admits requests up to the limit of the gate. */
    fun fill(): List<AdmissionTicket> = List(gate.load().limit - gate.inFlight) { ticket() }

    /** Runs rounds of requests at full load, each with [latency], until the limit is at its maximum. */
    fun warmUp(latency: Duration = 50.milliseconds) {
        repeat(600) { runRound(latency) }
    }

    /** Runs one round of requests at full load, which all finish after [latency]. */
    fun runRound(latency: Duration) {
        val tickets = fill()
        clock.advance(latency)
        gate.tick()
        tickets.forEach { it.finish(TargetResult.Answered(status = 200)) }
    }

    companion object {
        val HOME = RegionId("north")
        val ROUTE = RouteId("rounds")
        val SPEC = ServiceSpec(slots = 10, maxConnections = 100, coldSlots = 1, coldStartMs = 20_000, queueLength = 5)
    }
}
