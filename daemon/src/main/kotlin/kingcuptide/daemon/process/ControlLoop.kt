package kingcuptide.daemon.process

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kingcuptide.coordination.connection.ControlEnvelope
import kingcuptide.coordination.connection.ConvergenceMessage
import kingcuptide.coordination.connection.KeyMessage
import kingcuptide.coordination.connection.MembershipMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.QuarantineMessage
import kingcuptide.coordination.connection.VersionMessage
import kingcuptide.coordination.connection.VersionOffer
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Membership
import kingcuptide.coordination.request.AdmissionGate
import kingcuptide.coordination.request.SuspectTracker
import kingcuptide.coordination.version.ConvergenceCollector
import kingcuptide.coordination.version.ConvergenceSummary
import kingcuptide.coordination.version.Snapshot
import kingcuptide.coordination.version.VersionCoordinator
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/** The control components that [ControlLoop] drives from one coroutine. */
class ControlDecisions(
    val membership: Membership,
    val versions: VersionCoordinator<Snapshot>,
    val convergence: ConvergenceCollector,
    val suspects: SuspectTracker,
    val keys: KeyDecisions,
    val gate: AdmissionGate,
)

/**
 * Runs all control events in one coroutine: messages of peers, outcomes of platform calls and the periodic tick.
 *
 * [afterStep] is called after each event, in the same coroutine.
 */
class ControlLoop(
    private val scope: CoroutineScope,
    private val decisions: ControlDecisions,
    private val send: (List<Outbound>) -> Unit,
    private val afterStep: () -> Unit,
) {
    private val events = Channel<() -> List<Outbound>>(MAX_QUEUED_EVENTS)

    /** Starts to process events and to tick. */
    fun start() {
        scope.launch { for (event in events) step(event) }
        scope.launch {
            while (true) {
                events.send(::tick)
                delay(TICK_INTERVAL)
            }
        }
    }

    /** Queues a message of a peer; suspends while the queue is full. */
    suspend fun receive(envelope: ControlEnvelope) = events.send { dispatch(envelope) }

    /** Queues [event] to run in the control coroutine; the messages that it returns are sent. */
    suspend fun submit(event: () -> List<Outbound>) = events.send(event)

    /** Queries all hosts for their version in force; null if too many queries are running. */
    suspend fun summary(): ConvergenceSummary? {
        val summary = CompletableDeferred<ConvergenceSummary?>()
        submit {
            var outbound = emptyList<Outbound>()
            decisions.convergence
                .startQuery { summary.complete(it) }
                .onSuccess { outbound = it }
                .onFailure { summary.complete(null) }
            outbound
        }
        return summary.await()
    }

    private fun step(event: () -> List<Outbound>) {
        send(event())
        afterStep()
    }

    private fun tick(): List<Outbound> {
        decisions.gate.tick()
        return decisions.membership.tick() + decisions.versions.tick() + decisions.convergence.tick() +
            decisions.suspects.tick() + decisions.keys.tick()
    }

    private fun dispatch(envelope: ControlEnvelope): List<Outbound> =
        when (val message = envelope.message) {
            is MembershipMessage -> decisions.membership.receive(envelope.from, message)
            is VersionMessage -> receiveVersion(envelope.from, message)
            is ConvergenceMessage -> decisions.convergence.receive(envelope.from, message)
            is QuarantineMessage -> decisions.suspects.receive(envelope.from, message)
            is KeyMessage -> decisions.keys.receive(envelope.from, message)
        }

    private fun receiveVersion(from: HostId, message: VersionMessage): List<Outbound> {
        if (message is VersionOffer) decisions.keys.recordOffer(from, message)
        return decisions.versions.receive(from, message)
    }

    private companion object {
        const val MAX_QUEUED_EVENTS = 4_096
        val TICK_INTERVAL = 50.milliseconds
    }
}
