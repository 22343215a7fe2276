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

/** All claimers and witnesses of a fleet whose messages arrive at once and without loss. */
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
    private var nextGate = 0

    /** Messages that left a daemon since the counts were reset. */
    var messages = 0L
        private set

    /** Lets the hold-off pass while every daemon confirms its view. */
    fun passHoldOff() {
        repeat((settings.holdOff / settings.viewFreshness).toInt() + 2) {
            confirmAll()
            time.runUntil(time.now() + settings.viewFreshness)
        }
    }

    private fun confirmAll() {
        witnesses.values.forEach { it.confirm(view) }
        claimers.values.forEach { it.confirm(view) }
    }

    /** Starts to count messages anew. */
    fun resetCounts() {
        messages = 0
    }

    /** Claims, begins and completes one key at the next gate in turn. */
    fun claim(
        hash: String,
        onGranted: () -> Unit,
    ): List<KeyEnvelope> {
        val gate = hosts[nextGate++ % hosts.size]
        val claimer = claimers.getValue(gate)
        var granted: KeyDecision.Granted? = null
        val sent = ArrayList<KeyEnvelope>()
        val request = KeyedRequest(hash, emptySet(), time.now() + 5.seconds)
        deliver(gate, claimer.start(request) { granted = it as? KeyDecision.Granted }, sent)
        granted?.let {
            claimer.begin(it.claim)
            onGranted()
            deliver(gate, claimer.complete(it.claim, status = 201), sent)
        }
        messages += sent.size
        return sent
    }

    /** Returns the bytes of the datagrams of one claim. */
    fun bytesOf(hash: String): Int = claim(hash) {}.sumOf {
        codec.encode(ControlEnvelope(it.from, it.message)).unwrap().size
    }

    private fun deliver(
        from: HostId,
        outbound: List<Outbound>,
        sent: MutableList<KeyEnvelope>,
    ) {
        for (out in outbound) {
            val message = out.message as KeyMessage
            if (out.to != from) {
                sent += KeyEnvelope(from, message)
            }
            deliver(out.to, witnesses.getValue(out.to).receive(from, message), sent)
            claimers.getValue(out.to).receive(from, message)
        }
    }
}

/** A message that left a daemon. */
data class KeyEnvelope(
    val from: HostId,
    val message: KeyMessage,
)
