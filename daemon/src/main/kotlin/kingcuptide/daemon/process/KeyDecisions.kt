package kingcuptide.daemon.process

import kingcuptide.coordination.connection.KeyClaim
import kingcuptide.coordination.connection.KeyCompleted
import kingcuptide.coordination.connection.KeyGrant
import kingcuptide.coordination.connection.KeyMessage
import kingcuptide.coordination.connection.KeyRefusal
import kingcuptide.coordination.connection.KeyRelease
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.VersionOffer
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.request.KeyClaimer
import kingcuptide.coordination.request.KeyWitness
import kingcuptide.coordination.request.WitnessView
import kingcuptide.coordination.request.witnessView
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.ResourceVersion
import kingcuptide.coordination.version.Snapshot
import kingcuptide.coordination.version.VersionCoordinator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Idempotency keys in this daemon: the claimer of its own gate, and the witness for other gates.
 *
 * Messages to this host are handled immediately. [receive] may be called from any thread; all else must be called from
 * the control coroutine.
 */
class KeyDecisions(
    private val fleet: FleetView,
    private val versions: VersionCoordinator<Snapshot>,
    val claimer: KeyClaimer,
    val witness: KeyWitness,
) {
    private var view: WitnessView? = null
    private var viewSource: ViewSource? = null

    /** Handles a message of the daemon on [from] and returns the messages to send. */
    fun receive(from: HostId, message: KeyMessage): List<Outbound> =
        deliver(
            when (message) {
                is KeyClaim, is KeyCompleted, is KeyRelease -> witness.receive(from, message)
                is KeyGrant, is KeyRefusal -> claimer.receive(from, message)
            },
        )

    /** Handles the messages addressed to this host, and returns those to send to others. */
    fun deliver(outbound: List<Outbound>): List<Outbound> {
        val (own, others) = outbound.partition { it.to == fleet.self.host }
        return others + own.flatMap { receive(fleet.self.host, it.message as KeyMessage) }
    }

    /** Runs periodic work; confirms the witness view while the platform has recently confirmed both resources. */
    fun tick(): List<Outbound> {
        witness.tick()
        refreshView()
        if (ResourceKind.entries.all { isConfirmedBySource(it) }) view?.let(::confirm)
        return deliver(claimer.tick())
    }

    /**
     * Confirms the witness view if a peer of this failure domain has the same versions in force. Any two quorums of a
     * key share a failure domain, so views must agree within each. A host alone in its failure domain accepts the
     * confirmation of any peer.
     */
    fun recordOffer(from: HostId, offer: VersionOffer) {
        val peer = fleet.entry(from) ?: return
        if (peer.failureDomain != fleet.self.failureDomain && !isAloneInFailureDomain()) return
        val offered = offer.offered.associate { it.kind to it.version }
        if (ResourceKind.entries.all { offered[it] != null && offered[it] == versionInForce(it) }) view?.let(::confirm)
    }

    private fun isAloneInFailureDomain(): Boolean =
        fleet.hostList.hosts.none { it.failureDomain == fleet.self.failureDomain && it.host != fleet.self.host }

    private fun isConfirmedBySource(kind: ResourceKind): Boolean =
        (versions.confirmedAge(kind) ?: Duration.INFINITE) <= MAX_CONFIRMATION_AGE

    private fun versionInForce(kind: ResourceKind): ResourceVersion? =
        when (kind) {
            ResourceKind.DOCUMENT -> versions.document.current?.version
            ResourceKind.HOST_LIST -> versions.hostList.current?.version
        }

    private fun refreshView() {
        val snapshot = versions.document.current?.value ?: return
        val hosts = versions.hostList.current?.value ?: return
        val source = viewSource
        if (source != null && source.snapshot === snapshot && source.hosts === hosts) return
        val fresh = witnessView(hosts, snapshot.document.failureDomains)
        viewSource = ViewSource(snapshot, hosts)
        view = fresh
        claimer.confirm(fresh)
        confirm(fresh)
    }

    private fun confirm(confirmed: WitnessView) = witness.confirm(confirmed)

    private class ViewSource(
        val snapshot: Snapshot,
        val hosts: HostList,
    )

    private companion object {
        val MAX_CONFIRMATION_AGE = 3.seconds
    }
}
