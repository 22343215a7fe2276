package kingcuptide.forwarder.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.GateLoadReport
import kingcuptide.coordination.request.Outcome
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.PeerFrame
import kingcuptide.forwarder.connection.PeerMesh
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import kotlin.time.Duration.Companion.milliseconds

/** Sends requests to the gate on this host directly, and to others over the own connections to them. */
class PeerGateTransport(
    private val ownIp: String,
    private val gate: GateService,
    private val mesh: () -> PeerMesh,
    private val isLeaving: () -> Boolean,
) : GateTransport {
    private val pending = HashMap<PeerSession, HashMap<Long, (ForwardResult) -> Unit>>()
    private var lastNumber = 0L

    override fun isOpen(target: KnownTarget): Boolean {
        if (target.entry.ip == ownIp) return !isLeaving()
        val session = mesh().open(target.entry.ip) ?: return false
        return session.lastPing?.leaving != true
    }

    override fun submit(target: KnownTarget, call: ForwardCall, onEnd: (ForwardResult) -> Unit): Cancellation {
        if (target.entry.ip == ownIp) return gate.submit(call, onEnd)
        val session = mesh().open(target.entry.ip)
        if (session == null) {
            onEnd(
                ForwardResult.Refused(
                    ResultCode.PEER_UNREACHABLE,
                    RETRY_AFTER,
                    reachedTarget = false,
                    loadReport = null,
                ),
            )
            return Cancellation { }
        }
        val number = ++lastNumber
        val ofSession = pending.getOrPut(session) { HashMap() }
        ofSession[number] = onEnd
        session.send(messageOf(number, call), call.body)
        return Cancellation { if (ofSession.remove(number) != null) session.send(PeerMessage.Cancel(number)) }
    }

    /** Takes in the end of a request. */
    fun received(session: PeerSession, frame: PeerFrame) {
        when (val message = frame.message) {
            is PeerMessage.Answer -> end(session, message.number) {
                val response = BufferedResponse(message.status, pairs(message.headers), frame.body)
                ForwardResult.Answered(response, message.ranMs.milliseconds, message.loadReport.toGateLoadReport())
            }
            is PeerMessage.Refusal -> end(session, message.number) {
                val after = message.retryAfterMs.milliseconds
                ForwardResult.Refused(
                    codeOf(message.code, Outcome.NOT_RUN),
                    after,
                    message.reachedTarget,
                    message.loadReport.toGateLoadReport(),
                )
            }
            is PeerMessage.Loss -> end(session, message.number) {
                ForwardResult.Lost(codeOf(message.code, Outcome.UNKNOWN), message.loadReport.toGateLoadReport())
            }
            else -> Unit
        }
    }

    /** The connection is gone: what was sent on it may have run. */
    fun closed(session: PeerSession) {
        val lost = pending.remove(session) ?: return
        val ends = lost.values.toList()
        lost.clear()
        ends.forEach { it(ForwardResult.Lost(ResultCode.ANSWER_LOST, null)) }
    }

    private fun end(session: PeerSession, number: Long, result: () -> ForwardResult) {
        pending[session]?.remove(number)?.invoke(result())
    }

    private fun messageOf(number: Long, call: ForwardCall) =
        PeerMessage.Forward(
            number,
            call.requestId,
            call.method,
            call.target,
            flat(call.headers),
            call.remaining.inWholeMilliseconds,
            call.untilObjective.inWholeMilliseconds,
            call.objective.inWholeMilliseconds,
            call.route.value,
            call.priority,
            call.idempotent,
            call.targetId.value,
        )

    private companion object {
        val RETRY_AFTER = 200.milliseconds
    }
}

private val codesByNumber = ResultCode.entries.associateBy { it.number }

/** Returns the code of [number], or a plain one of the same [outcome] where this daemon knows none. */
internal fun codeOf(number: Int, outcome: Outcome): ResultCode {
    val plain = if (outcome == Outcome.UNKNOWN) ResultCode.ANSWER_LOST else ResultCode.TARGET_FULL
    return codesByNumber[number]?.takeIf { it.outcome == outcome } ?: plain
}

internal fun flat(headers: Headers): List<String> = headers.flatMap { listOf(it.first, it.second) }

internal fun pairs(flat: List<String>): Headers = flat.chunked(2).filter { it.size == 2 }.map { it[0] to it[1] }

internal fun GateLoadReport.toMessage() =
    PeerMessage.LoadReport(inFlight, queued, limit, wait.inWholeMilliseconds, cold)

internal fun PeerMessage.LoadReport.toGateLoadReport() = GateLoadReport(
    inFlight,
    queued,
    limit,
    waitMs.milliseconds,
    cold,
)
