package kingcuptide.coordination.request

import kingcuptide.coordination.connection.ClaimId
import kingcuptide.coordination.connection.FakeClock
import kingcuptide.coordination.connection.KeyMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.FailureDomainSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Short durations, so that a whole resend window passes within a few steps. */
internal val testKeySettings = KeySettings(
    resendWindow = 10.seconds,
    maxRemaining = 2.seconds,
    maxStartDelay = 1.seconds,
    viewFreshness = 1.seconds,
    confirmationLag = 500.milliseconds,
)

internal fun hostEntry(
    name: String,
    domain: String,
    region: String = "north",
): HostEntry = HostEntry(
    host = HostId(name),
    ip = "127.0.0.1",
    peerPort = 1,
    httpPort = 2,
    failureDomain = FailureDomainId(domain),
    region = RegionId(region),
    service = ServiceId("rounds"),
)

/** One run of a key at a target. */
internal data class KeyRun(
    val key: String,
    val gate: HostId,
    val sentAt: Duration,
    val remaining: Duration,
)

/** A granted claim that was neither started nor released yet. */
internal data class GrantedClaim(
    val host: HostId,
    val id: ClaimId,
    val run: KeyRun,
)

/** A message in transit. */
internal data class KeyEnvelope(
    val from: HostId,
    val to: HostId,
    val message: KeyMessage,
)

/** Gates and witnesses on a simulated network, whose messages the test delivers one by one. */
internal class KeySimulation(
    hosts: List<HostId>,
    private val settings: KeySettings = testKeySettings,
    private val rules: KeyRules = keyRules(settings),
) {
    val clock = FakeClock()
    val network = mutableListOf<KeyEnvelope>()
    val granted = mutableListOf<GrantedClaim>()
    val refused = mutableListOf<KeyDecision.Refused>()
    val runs = mutableListOf<KeyRun>()
    val paused = mutableSetOf<HostId>()
    private val daemons = hosts.associateWithTo(HashMap()) { newDaemon(it, Incarnation(1)) }

    fun confirm(
        host: HostId,
        view: WitnessView,
    ) {
        val daemon = daemons.getValue(host)
        daemon.witness.confirm(view)
        daemon.claimer.confirm(view)
    }

    fun send(
        gate: HostId,
        key: String,
        remaining: Duration = settings.maxRemaining,
    ) {
        val run = KeyRun(key, gate, clock.now(), remaining)
        val request = KeyedRequest(key, emptySet(), clock.now() + remaining)
        val outbound = daemons.getValue(gate).claimer.start(request) { decision ->
            when (decision) {
                is KeyDecision.Granted -> granted += GrantedClaim(gate, decision.claim, run)
                is KeyDecision.Refused -> refused += decision
            }
        }
        post(gate, outbound)
    }

    fun deliver(
        envelope: KeyEnvelope,
        keepsCopy: Boolean = false,
    ) {
        if (!keepsCopy) {
            network.remove(envelope)
        }
        val daemon = daemons.getValue(envelope.to)
        post(envelope.to, daemon.witness.receive(envelope.from, envelope.message))
        post(envelope.to, daemon.claimer.receive(envelope.from, envelope.message))
    }

    /** Delivers messages between hosts that are not paused, except blocked ones, until none is left. */
    fun deliverAll(isBlocked: (KeyEnvelope) -> Boolean = { false }) {
        while (true) {
            val next = network.firstOrNull { it.to !in paused && it.from !in paused && !isBlocked(it) } ?: return
            deliver(next)
        }
    }

    fun tick(host: HostId) {
        val daemon = daemons.getValue(host)
        daemon.witness.tick()
        post(host, daemon.claimer.tick())
    }

    /** Starts a granted request unless [KeyClaimer.begin] fails, and returns whether it ran. */
    fun run(claim: GrantedClaim): Boolean {
        granted -= claim
        val claimer = daemons.getValue(claim.host).claimer
        if (claimer.begin(claim.id).isErr) {
            post(claim.host, claimer.release(claim.id))
            return false
        }
        runs += claim.run
        return true
    }

    fun release(claim: GrantedClaim) {
        granted -= claim
        post(claim.host, daemons.getValue(claim.host).claimer.release(claim.id))
    }

    fun complete(claim: GrantedClaim) {
        post(claim.host, daemons.getValue(claim.host).claimer.complete(claim.id, status = 201))
    }

    fun restart(host: HostId) {
        val incarnation = daemons.getValue(host).incarnation
        daemons[host] = newDaemon(host, Incarnation(incarnation.value + 1))
        granted.removeAll { it.host == host }
        paused -= host
    }

    fun witnessCounters(host: HostId): KeyWitnessCounters = daemons.getValue(host).witness.counters()

    /** Returns two runs of a key where the later one was sent within the window of the earlier one, or null. */
    fun findDoubleRun(): Pair<KeyRun, KeyRun>? {
        for (first in runs) {
            for (second in runs) {
                val windowEnd = first.sentAt + first.remaining + settings.resendWindow
                if (first !== second && first.key == second.key && second.sentAt in first.sentAt..windowEnd) {
                    return first to second
                }
            }
        }
        return null
    }

    private fun post(
        from: HostId,
        outbound: List<Outbound>,
    ) {
        outbound.mapTo(network) { KeyEnvelope(from, it.to, it.message as KeyMessage) }
    }

    private fun newDaemon(
        host: HostId,
        incarnation: Incarnation,
    ) = Daemon(
        incarnation,
        KeyWitness(host, clock, settings, rules),
        KeyClaimer(host, incarnation, clock, settings, rules),
    )

    private class Daemon(
        val incarnation: Incarnation,
        val witness: KeyWitness,
        val claimer: KeyClaimer,
    )
}

internal fun viewOf(entries: List<HostEntry>): WitnessView {
    val domains = listOf("d1", "d2", "d3").associate {
        FailureDomainId(it) to FailureDomainSpec(RegionId("north"))
    }
    return witnessView(HostList(revision = 1, hosts = entries), domains)
}

/** Returns a key whose first witness is one of [names]. */
internal fun keyWithFirstWitnessIn(
    view: WitnessView,
    names: Set<String>,
): String = (1..1_000).map { "key$it" }.first { view.witnesses(it, emptySet())[0]?.value in names }

internal val oneTick: Duration = 50.milliseconds
