package kingcuptide.bench.keys

import com.github.michaelbull.result.unwrap
import kingcuptide.bench.requests.VirtualTime
import kingcuptide.coordination.connection.ControlEnvelope
import kingcuptide.coordination.connection.KeyMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.frameCodec
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.request.KeyDecision
import kingcuptide.coordination.request.KeySettings
import kingcuptide.coordination.request.KeyedRequest
import kingcuptide.coordination.request.keyClaimer
import kingcuptide.coordination.request.keyWitness
import kotlin.time.Duration.Companion.seconds

/** Key claimers and witnesses of all hosts of a fleet, with instant delivery of messages and no loss. */
class KeyCluster(
    shape: KeyFleetShape,
    private val settings: KeySettings,
    private val time: VirtualTime,
) {
    private val view = shape.view()
    private val hosts = shape.entries.map { it.host }
    private val witnesses = hosts.associateWith { keyWitness(it, time, settings) }
    private val claimers = hosts.associateWith { keyClaimer(it, Incarnation(1), time, settings) }
    private val codec = frameCodec()
    private var gateIndex = 0

    /** Number of messages between daemons since the last [resetMessageCount]. */
    var messageCount = 0L
        private set

    /** Advances time beyond the hold-off, while every daemon keeps confirming its view. */
    fun waitForHoldOff() {
        repeat((settings.holdOff / settings.viewFreshness).toInt() + 2) {
            confirmAll()
            time.runUntil(time.now() + settings.viewFreshness)
        }
    }

    private fun confirmAll() {
        witnesses.values.forEach { it.confirm(view) }
        claimers.values.forEach { it.confirm(view) }
    }

    /** Resets [messageCount] to 0. */
    fun resetMessageCount() {
        messageCount = 0
    }

    /** Claims, begins and completes a key at the next gate in round-robin order; returns the messages sent. */
    fun claim(
        hash: String,
        onGranted: () -> Unit,
    ): List<KeyEnvelope> {
        val gate = hosts[gateIndex++ % hosts.size]
        val claimer = claimers.getValue(gate)
        var granted: KeyDecision.Granted? = null
        val sent = ArrayList<KeyEnvelope>()
        val request = KeyedRequest(hash, emptySet(), time.now() + 5.seconds)
        deliverAll(gate, claimer.start(request) { granted = it as? KeyDecision.Granted }, sent)
        granted?.let {
            claimer.begin(it.claim)
            onGranted()
            deliverAll(gate, claimer.complete(it.claim, status = 201), sent)
        }
        messageCount += sent.size
        return sent
    }

    /** Returns the size in bytes of all datagrams of one claim. */
    fun claimBytes(hash: String): Int = claim(hash) {}.sumOf {
        codec.encode(ControlEnvelope(it.from, it.message)).unwrap().size
    }

    private fun deliverAll(
        from: HostId,
        outbound: List<Outbound>,
        sent: MutableList<KeyEnvelope>,
    ) {
        for (outgoing in outbound) {
            val message = outgoing.message as KeyMessage
            if (outgoing.to != from) {
                sent += KeyEnvelope(from, message)
            }
            deliverAll(outgoing.to, witnesses.getValue(outgoing.to).receive(from, message), sent)
            claimers.getValue(outgoing.to).receive(from, message)
        }
    }
}

/** Message from one daemon to another. */
data class KeyEnvelope(
    val from: HostId,
    val message: KeyMessage,
)
