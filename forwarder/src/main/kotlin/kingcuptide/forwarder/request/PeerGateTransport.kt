package kingcuptide.forwarder.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.GateLoadReport
import kingcuptide.coordination.request.Outcome
import kingcuptide.coordination.request.RunTimes
import kingcuptide.coordination.request.TargetInstance
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.DelayedFrame
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.PeerFrame
import kingcuptide.forwarder.connection.PeerMesh
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sends requests to the gate on this host directly, and to other gates over the connections to their daemons. */
class PeerGateTransport(
    private val ownIp: String,
    private val gate: GateService,
    private val mesh: () -> PeerMesh,
    private val ownTargetInUse: () -> TargetId?,
    private val isLeaving: () -> Boolean,
) : GateTransport {
    private val pendingBySession = HashMap<PeerSession, HashMap<Long, PendingCall>>()
    private var lastCallNumber = 0L

    override fun canSend(target: KnownTarget): Boolean {
        if (target.entry.ip == ownIp) return !isLeaving()
        val session = mesh().sessionTo(target.entry.ip) ?: return false
        return session.lastPing?.leaving != true
    }

    override fun isToldInUse(target: KnownTarget): Boolean {
        if (target.entry.ip == ownIp) return ownTargetInUse() == target.entry.id
        return mesh().sessionTo(target.entry.ip)?.lastPing?.targetInUse == target.entry.id.value
    }

    override fun submit(target: KnownTarget, call: ForwardCall, onResult: (ForwardResult) -> Unit): Cancellation {
        if (target.entry.ip == ownIp) return gate.submit(call, onResult)
        val session = mesh().sessionTo(target.entry.ip)
        if (session == null) {
            onResult(UNREACHABLE)
            return Cancellation { false }
        }
        val number = ++lastCallNumber
        val pendingOfSession = pendingBySession.getOrPut(session) { HashMap() }
        val frame = DelayedFrame { waited -> PeerFrame(messageOf(number, call, waited), call.body) }
        pendingOfSession[number] = PendingCall(frame, call, onResult)
        session.sendWhenWritable(frame)
        return Cancellation {
            val isPending = pendingOfSession.remove(number) != null
            val isUnsent = isPending && session.withdraw(frame)
            if (isPending && !isUnsent) session.send(PeerMessage.Cancel(number))
            isUnsent
        }
    }

    /** Applies a reply from a gate: completes the call that it belongs to. */
    fun received(session: PeerSession, frame: PeerFrame) {
        when (val message = frame.message) {
            is PeerMessage.Response -> complete(session, message.number) {
                val response = BufferedResponse(message.status, toHeaders(message.headers), frame.body)
                val load = message.loadReport.toGateLoadReport()
                ForwardResult.Answered(response, message.ranMs.milliseconds, load, message.calls?.let(::toCalls))
            }
            is PeerMessage.Refusal -> complete(session, message.number) {
                val after = message.retryAfterMs.milliseconds
                ForwardResult.Refused(
                    codeOf(message.code, Outcome.NOT_RUN),
                    after,
                    message.reachedTarget,
                    message.loadReport.toGateLoadReport(),
                )
            }
            is PeerMessage.OutcomeUnknown -> complete(session, message.number) {
                ForwardResult.OutcomeUnknown(
                    codeOf(message.code, Outcome.UNKNOWN),
                    message.loadReport.toGateLoadReport(),
                )
            }
            is PeerMessage.TargetSilent ->
                pendingBySession[session]?.get(message.number)?.call?.onSilent(message.loadReport.toGateLoadReport())
            else -> Unit
        }
    }

    /** The gate has been silent for too long: calls that have not been sent are refused, and the others go on. */
    fun silent(session: PeerSession) {
        refuseUnsent(session)
        val idempotent = pendingBySession[session].orEmpty().values.map { it.call }.filter { it.idempotent }
        idempotent.forEach { it.onSilent(null) }
    }

    /** Returns whether calls wait for a reply on [session]. */
    fun isInUse(session: PeerSession): Boolean = !pendingBySession[session].isNullOrEmpty()

    /** The connection is closed: the outcome of all calls sent on it is unknown. */
    fun closed(session: PeerSession) {
        refuseUnsent(session)
        val lost = pendingBySession.remove(session)?.values.orEmpty()
        lost.forEach { it.onResult(ForwardResult.OutcomeUnknown(ResultCode.ANSWER_LOST, null)) }
    }

    /** Refuses calls of which no byte has been sent: they have not run. */
    private fun refuseUnsent(session: PeerSession) {
        val callsOfSession = pendingBySession[session] ?: return
        val unsent = callsOfSession.filterValues { session.withdraw(it.frame) }
        callsOfSession.keys.removeAll(unsent.keys)
        unsent.values.forEach { it.onResult(UNREACHABLE) }
    }

    private fun complete(session: PeerSession, number: Long, result: () -> ForwardResult) {
        pendingBySession[session]?.remove(number)?.onResult?.invoke(result())
    }

    private fun messageOf(number: Long, call: ForwardCall, waited: Duration) =
        PeerMessage.Forward(
            number,
            call.requestId,
            call.method,
            call.target,
            flatten(call.headers),
            (call.remaining - waited).inWholeMilliseconds,
            (call.untilObjective - waited).inWholeMilliseconds,
            call.objective.inWholeMilliseconds,
            call.route.value,
            call.priority,
            call.idempotent,
            call.targetId.value,
            call.workspace,
            call.ratePerSecond,
            flattenRunTimes(call.runTimes.orEmpty()),
        )

    private class PendingCall(
        val frame: DelayedFrame,
        val call: ForwardCall,
        val onResult: (ForwardResult) -> Unit,
    )

    private companion object {
        val UNREACHABLE =
            ForwardResult.Refused(
                ResultCode.PEER_UNREACHABLE,
                200.milliseconds,
                reachedTarget = false,
                loadReport = null,
            )
    }
}

private val codesByNumber = ResultCode.entries.associateBy { it.number }

/** Returns the code of [number], or a general one of the same [outcome] if this daemon has none of that number. */
internal fun codeOf(number: Int, outcome: Outcome): ResultCode {
    val fallback = if (outcome == Outcome.UNKNOWN) ResultCode.ANSWER_LOST else ResultCode.TARGET_FULL
    return codesByNumber[number]?.takeIf { it.outcome == outcome } ?: fallback
}

internal fun flatten(headers: Headers): List<String> = headers.flatMap { listOf(it.first, it.second) }

internal fun toHeaders(flattened: List<String>): Headers =
    flattened.chunked(2).filter { it.size == 2 }.map { it[0] to it[1] }

internal fun GateLoadReport.toMessage() =
    PeerMessage.LoadReport(
        inFlight,
        queued,
        limit,
        wait.inWholeMilliseconds,
        cold,
        ratePerSecond,
        leavingInstance?.id?.value,
        leavingInstance?.startedAtUnixMs ?: TargetEntry.UNKNOWN_START,
        flattenRunTimes(runTimes),
        flattenDemand(demand),
    )

/** Returns the load report of a gate whose run times were [knownRunTimes] before. */
internal fun PeerMessage.LoadReport.toGateLoadReport(knownRunTimes: RunTimes? = null) = GateLoadReport(
    inFlight,
    queued,
    limit,
    waitMs.milliseconds,
    cold,
    ratePerSecond,
    leavingTarget?.let { id ->
        TargetInstance(TargetId(id), leavingStartedAtUnixMs.takeIf { it != TargetEntry.UNKNOWN_START })
    },
    if (isBrief) knownRunTimes.orEmpty() else toRunTimes(runTimes),
    toDemand(demand),
)
