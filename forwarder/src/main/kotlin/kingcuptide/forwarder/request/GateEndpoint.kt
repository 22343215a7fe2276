package kingcuptide.forwarder.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.GateLoadReport
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.PeerFrame
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import kingcuptide.forwarder.connection.endToEnd
import kingcuptide.forwarder.process.StartQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Accepts requests that other daemons send to the target on this host. They are submitted to the gate at the end of the
 * round of I/O, when cancellations that arrived with them are known.
 */
class GateEndpoint(
    private val clock: Clock,
    private val starts: StartQueue,
    private val gate: GateService,
    private val loadReport: () -> GateLoadReport,
) {
    private val callsBySession = HashMap<PeerSession, HashMap<Long, Cancellation>>()

    fun received(session: PeerSession, frame: PeerFrame) {
        when (val message = frame.message) {
            is PeerMessage.Forward -> forward(session, message, frame.body)
            is PeerMessage.Cancel -> callsBySession[session]?.remove(message.number)?.cancel()
            else -> Unit
        }
    }

    /** Returns whether calls that arrived on [session] have no reply yet. */
    fun isInUse(session: PeerSession): Boolean = !callsBySession[session].isNullOrEmpty()

    /** The connection is closed: cancels all calls that arrived on it. */
    fun closed(session: PeerSession) {
        callsBySession.remove(session)?.values?.toList()?.forEach { it.cancel() }
    }

    private fun forward(session: PeerSession, message: PeerMessage.Forward, body: ByteArray) {
        val arrivedAt = clock.now()
        val callsOfSession = callsBySession.getOrPut(session) { HashMap() }
        var isCancelled = false
        callsOfSession[message.number] = Cancellation {
            isCancelled = true
            true
        }
        starts.add {
            if (!isCancelled) submit(session, callsOfSession, message, body, clock.now() - arrivedAt)
        }
    }

    private fun submit(
        session: PeerSession,
        callsOfSession: HashMap<Long, Cancellation>,
        message: PeerMessage.Forward,
        body: ByteArray,
        waited: Duration,
    ) {
        var completed = false
        val cancellation =
            gate.submit(callOf(session, message, body, waited)) { result ->
                completed = true
                callsOfSession.remove(message.number)
                reply(session, message.number, result)
            }
        if (!completed) callsOfSession[message.number] = cancellation
    }

    private fun reply(session: PeerSession, number: Long, result: ForwardResult) {
        val load = (result.loadReport ?: loadReport()).toMessage()
        when (result) {
            is ForwardResult.Answered -> {
                val response = result.response
                val ranMs = result.runTime.inWholeMilliseconds
                val headers = flatten(endToEnd(response.headers))
                val calls = result.calls?.let(::flattenCalls)
                session.send(PeerMessage.Response(number, response.status, headers, ranMs, load, calls), response.body)
            }
            is ForwardResult.Refused -> {
                val afterMs = result.retryAfter.inWholeMilliseconds
                session.send(PeerMessage.Refusal(number, result.code.number, afterMs, result.reachedTarget, load))
            }
            is ForwardResult.OutcomeUnknown ->
                session.send(PeerMessage.OutcomeUnknown(number, result.code.number, load))
        }
    }

    private fun callOf(session: PeerSession, message: PeerMessage.Forward, body: ByteArray, waited: Duration) =
        ForwardCall(
            message.requestId,
            message.method,
            message.target,
            toHeaders(message.headers),
            body,
            message.remainingMs.milliseconds - waited,
            message.untilObjectiveMs.milliseconds - waited,
            message.objectiveMs.milliseconds,
            RouteId(message.route),
            message.priority,
            message.idempotent,
            TargetId(message.targetId),
            message.workspace,
            message.ratePerSecond,
            toRunTimes(message.runTimes).ifEmpty { null },
        ) { session.send(PeerMessage.TargetSilent(message.number, (it ?: loadReport()).toMessage())) }
}
