package kingcuptide.forwarder.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.GateLoadReport
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.PeerFrame
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import kingcuptide.forwarder.connection.endToEnd
import kotlin.time.Duration.Companion.milliseconds

/** Takes requests that other daemons send to the target on this host. */
class GateEndpoint(
    private val gate: GateService,
    private val loadReport: () -> GateLoadReport,
) {
    private val running = HashMap<PeerSession, HashMap<Long, Cancellation>>()

    fun received(session: PeerSession, frame: PeerFrame) {
        when (val message = frame.message) {
            is PeerMessage.Forward -> forward(session, message, frame.body)
            is PeerMessage.Cancel -> running[session]?.remove(message.number)?.cancel()
            else -> Unit
        }
    }

    /** The connection is gone, and with it all who waited on it. */
    fun closed(session: PeerSession) {
        running.remove(session)?.values?.toList()?.forEach { it.cancel() }
    }

    private fun forward(session: PeerSession, message: PeerMessage.Forward, body: ByteArray) {
        val ofSession = running.getOrPut(session) { HashMap() }
        var ended = false
        val cancellation =
            gate.submit(callOf(message, body)) { end ->
                ended = true
                ofSession.remove(message.number)
                response(session, message.number, end)
            }
        if (!ended) ofSession[message.number] = cancellation
    }

    private fun response(session: PeerSession, number: Long, end: ForwardResult) {
        val has = (end.loadReport ?: loadReport()).toMessage()
        when (end) {
            is ForwardResult.Answered -> {
                val response = end.response
                val ranMs = end.ran.inWholeMilliseconds
                session.send(
                    PeerMessage.Answer(number, response.status, flat(endToEnd(response.headers)), ranMs, has),
                    response.body,
                )
            }
            is ForwardResult.Refused -> {
                val afterMs = end.retryAfter.inWholeMilliseconds
                session.send(PeerMessage.Refusal(number, end.code.number, afterMs, end.reachedTarget, has))
            }
            is ForwardResult.Lost -> session.send(PeerMessage.Loss(number, end.code.number, has))
        }
    }

    private fun callOf(message: PeerMessage.Forward, body: ByteArray) =
        ForwardCall(
            message.requestId,
            message.method,
            message.target,
            pairs(message.headers),
            body,
            message.remainingMs.milliseconds,
            message.untilObjectiveMs.milliseconds,
            message.objectiveMs.milliseconds,
            RouteId(message.route),
            message.priority,
            message.idempotent,
            TargetId(message.targetId),
        )
}
