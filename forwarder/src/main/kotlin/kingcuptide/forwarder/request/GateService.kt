package kingcuptide.forwarder.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.CrashCandidate
import kingcuptide.coordination.request.CrashCandidates
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.FingerprintInput
import kingcuptide.coordination.request.GateRefusal
import kingcuptide.coordination.request.GateRequest
import kingcuptide.coordination.request.SurvivedRun
import kingcuptide.coordination.request.SurvivedRuns
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.request.TargetInstance
import kingcuptide.coordination.request.TargetState
import kingcuptide.coordination.request.Verdict
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.ConnectFailure
import kingcuptide.forwarder.connection.HttpCall
import kingcuptide.forwarder.connection.HttpResult
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.Side
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Receives what requests show about the state of the target. */
interface TargetObserver {
    /** The target responded to a request that was sent at [startedAt]. */
    fun responded(startedAt: Duration)

    /** A request failed on its connection, or another target responded; [reason] goes into the log. */
    fun suspect(reason: String)

    /** No connection to the target can be opened, as [failure] says. */
    fun unreachable(failure: ConnectFailure)
}

/**
 * Carries out the decisions of the gate: sends admitted requests to the target and validates its responses.
 *
 * @param responseBy returns by when a request must be answered whose caller waits until the given time
 * @param atTurnEnd runs its argument when cancellations that arrived with the response of the target are known
 * @param instanceOf returns the instance of a target to which a request is sent now
 * @param onQueued called when a request waits at the gate, which must be served regularly from then on
 */
class GateService(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val gate: TargetGate,
    private val client: TargetCalls,
    private val names: HeaderNames,
    private val currentTarget: () -> TargetId?,
    private val targetObserver: TargetObserver,
    private val notices: TargetNotices,
    private val suspects: CrashSuspects,
    private val running: RunningRequests,
    private val metrics: DaemonMetrics,
    private val responseBy: (Duration) -> Duration = { it },
    private val atTurnEnd: (() -> Unit) -> Unit = { it() },
    private val onQueued: () -> Unit = {},
    private val instanceOf: (TargetId) -> TargetInstance = { TargetInstance(it, null) },
) {
    private val runningCalls = LinkedHashSet<GateCall>()
    private val crashCandidates = CrashCandidates(clock)
    private val survivedRuns = SurvivedRuns(clock)
    private val cancellations = GateCancellations(metrics)

    /** Submits [call] to the gate; [onResult] is called once, possibly before this returns, unless cancelled. */
    fun submit(call: ForwardCall, onResult: (ForwardResult) -> Unit): Cancellation {
        val gateCall = GateCall(call, onResult)
        if (gateCall.isQuarantined()) return gateCall.apply { refusedByGate(QUARANTINE_REFUSAL) }
        if (currentTarget() in setOf(null, call.targetId)) told(call)
        gate.offer(gateCall.request)
        if (gate.queued > 0) onQueued()
        return gateCall
    }

    private fun told(call: ForwardCall) {
        call.ratePerSecond?.let(notices::rateTold)
        call.runTimes?.let(gate::runTimesTold)
    }

    /** Returns and removes the requests that may have crashed each target that [hasEnded]. */
    fun drainCrashCandidates(hasEnded: (TargetId) -> Boolean): Map<TargetId, List<CrashCandidate>> =
        crashCandidates.drain(hasEnded).also { if (it.isNotEmpty()) survivedRuns.targetCrashed() }

    /** Returns the requests that the target has survived. */
    fun survivedRuns(): List<SurvivedRun> = survivedRuns.latest()

    /** The target has ended a connection on which no call waited. */
    fun idleConnectionEnded() {
        crashCandidates.connectionEnded()
        survivedRuns.connectionEnded()
    }

    private fun interrupted(request: FingerprintInput, target: TargetId, startedAt: Duration) {
        crashCandidates.interrupted(request, target, startedAt)
        survivedRuns.connectionEnded()
    }

    /**
     * Ends the idempotent requests that get no response after [failure], so that their entries can retry them. If they may
     * still get one, their entries are told of the silence.
     */
    fun targetFailed(failure: TargetFailure) {
        val idempotent = runningCalls.filter { it.idempotent }
        when (failure) {
            is TargetFailure.ListenerClosed -> Unit
            is TargetFailure.Unresponsive -> idempotent.forEach { it.reportSilence() }
            is TargetFailure.Replaced ->
                idempotent.filter { it.targetId == failure.before }.forEach { it.abort(failure) }
        }
    }

    private inner class GateCall(
        private val call: ForwardCall,
        private val onResult: (ForwardResult) -> Unit,
    ) : Cancellation {
        private val arrivedAt = clock.now()
        private val callerDeadline = arrivedAt + call.remaining
        private val deadline = responseBy(callerDeadline)
        private var job: Job? = null
        private var startedAt: Duration? = null
        private var sentAt: Duration? = null
        private var isCompleted = false
        val request =
            GateRequest(
                route = call.route,
                priority = call.priority,
                deadline = deadline,
                objectiveAt = arrivedAt + call.untilObjective,
                objective = call.objective,
                onStart = ::start,
                onRefused = ::refusedByGate,
                shareGroup = call.workspace ?: NO_WORKSPACE,
                isCutShort = deadline < callerDeadline,
            )

        private val fingerprintInput = call.fingerprintInput(names)

        val idempotent: Boolean get() = call.idempotent

        val targetId: TargetId get() = call.targetId

        fun isQuarantined(): Boolean =
            suspects.mayQuarantine && suspects.verdict(fingerprintInput) == Verdict.QUARANTINED

        fun reportSilence() {
            if (!isCompleted) call.onSilent(gate.loadReport())
        }

        fun abort(failure: TargetFailure) {
            complete(outcomeUnknown(ResultCode.ANSWER_LOST, failure.reason))
            job?.cancel()
        }

        override fun cancel(): Boolean {
            if (isCompleted) return false
            isCompleted = true
            gate.withdraw(request)
            logCancelled()
            job?.cancel()
            return sentAt == null
        }

        private fun logCancelled() {
            val now = clock.now()
            val started = startedAt ?: return cancellations.inQueue(call, now - arrivedAt)
            cancellations.started(call, started - arrivedAt, now - started, sentAt?.let { now - it })
        }

        fun refusedByGate(refusal: GateRefusal) {
            val loadReport = gate.loadReport()
            val shareCounts = gate.shareCountsOf(request.shareGroup)
            metrics.refused(Side.GATE, refusal.code)
            log.info(
                "gate_refused",
                "request" to call.requestId,
                "target" to call.targetId,
                "code" to refusal.code.number,
                "waited_ms" to (clock.now() - arrivedAt).inWholeMilliseconds,
                "in_flight" to loadReport.inFlight,
                "queued" to loadReport.queued,
                "limit" to loadReport.limit,
                "cold" to loadReport.cold,
                "retry_after_ms" to refusal.retryAfter.inWholeMilliseconds,
                "group" to request.shareGroup,
                "group_served" to shareCounts.served,
                "group_requested" to shareCounts.requested,
            )
            complete(ForwardResult.Refused(refusal.code, refusal.retryAfter, reachedTarget = false, loadReport))
        }

        private fun start() {
            metrics.recordGateWait(clock.now() - arrivedAt)
            job = scope.launch {
                var hasResponse = false
                runningCalls += this@GateCall
                running.started(call.requestId, deadline + DEADLINE_RESPONSE_TIME)
                try {
                    val now = clock.now()
                    startedAt = now
                    val result = runOrFail(now)
                    hasResponse = result is ForwardResult.Answered
                    complete(result)
                } finally {
                    runningCalls -= this@GateCall
                    if (hasResponse) running.ended(call.requestId) else running.abandoned(call.requestId)
                    atTurnEnd { gate.ended(request, hasResponse) }
                }
            }
        }

        /** After an unexpected error the request may have run; without a result its entry would wait for one. */
        private suspend fun runOrFail(startedAt: Duration): ForwardResult =
            try {
                run(startedAt)
            } catch (exception: CancellationException) {
                throw exception
            } catch (
                @Suppress("TooGenericExceptionCaught") throwable: Throwable,
            ) {
                log.error("task_failed", throwable, "request" to call.requestId)
                outcomeUnknown(ResultCode.ANSWER_LOST, "$throwable")
            }

        private suspend fun run(startedAt: Duration): ForwardResult {
            val expected = currentTarget()
            if (expected != null && expected != call.targetId) return refused(ResultCode.VERSION_BEHIND, false)
            if (isQuarantined()) return refused(QUARANTINE_REFUSAL.code, false, QUARANTINE_REFUSAL.retryAfter)
            val instance = instanceOf(call.targetId)
            val remaining = deadline - startedAt
            val httpCall = HttpCall(call.method, call.target, headersOf(remaining), call.body, call.requestId) {
                sentAt = clock.now()
            }
            val result =
                withTimeoutOrNull((remaining + DEADLINE_RESPONSE_TIME).inWholeMilliseconds) {
                    client.call(httpCall, call.idempotent) { it.first(names.requestId) in setOf(null, call.requestId) }
                }
            return when (result) {
                null -> outcomeUnknown(ResultCode.DEADLINE_PASSED_RUNNING, "time is up")
                is HttpResult.NotSent -> {
                    targetObserver.unreachable(result.failure)
                    refused(ResultCode.TARGET_DOWN, reachedTarget = false)
                }
                is HttpResult.Broken -> {
                    interrupted(fingerprintInput, call.targetId, startedAt)
                    if (!result.responseStarted || result.isConnectionLost) targetObserver.suspect(result.reason)
                    outcomeUnknown(
                        if (result.responseStarted) ResultCode.ANSWER_TRUNCATED else ResultCode.ANSWER_LOST,
                        result.reason,
                    )
                }
                is HttpResult.Answered -> validated(result, startedAt, instance)
            }
        }

        private fun validated(
            result: HttpResult.Answered,
            startedAt: Duration,
            instance: TargetInstance,
        ): ForwardResult {
            val response = result.response
            val runTime = clock.now() - startedAt
            targetObserver.responded(startedAt)
            metrics.recordTargetRunTime(runTime)
            // Without this id it may belong to an earlier request, even a refusal.
            if (response.headers.first(names.requestId) !=
                call.requestId
            ) {
                return invalid(response, startedAt, "no request id")
            }
            if (response.headers.first(names.notRun) != null) {
                if (response.status != MISDIRECTED_REQUEST) notices.responded(instance, response.headers, startedAt)
                return refused(ResultCode.TARGET_FULL, true)
            }
            if (response.status == MISDIRECTED_REQUEST) {
                targetObserver.suspect("another target responded")
                return refused(ResultCode.TARGET_DOWN, true)
            }
            val isUnsigned =
                response.status in SUCCESS_STATUSES && response.headers.first(names.targetSignature) == null
            if (isUnsigned) return invalid(response, startedAt, "no target signature")
            if (response.headers.first(CONTENT_ENCODING) !=
                null
            ) {
                return invalid(response, startedAt, "content encoding")
            }
            notices.responded(instance, response.headers, startedAt)
            recordResponse(result, startedAt)
            return ForwardResult.Answered(response, runTime, gate.loadReport(), running.callsOf(call.requestId))
        }

        private fun invalid(response: BufferedResponse, startedAt: Duration, fault: String): ForwardResult {
            interrupted(fingerprintInput, call.targetId, startedAt)
            return outcomeUnknown(ResultCode.ANSWER_TRUNCATED, "status ${response.status}: invalid response, $fault")
        }

        /** A target that leaves ends its connections after its last responses, which is no crash. */
        private fun recordResponse(result: HttpResult.Answered, startedAt: Duration) {
            if (gate.state == TargetState.LEAVING) return
            crashCandidates.responded(fingerprintInput, call.targetId, startedAt)
            if (result.response.status < FIRST_SERVER_ERROR) survivedRuns.responded(fingerprintInput, startedAt)
            if (result.endsConnection) idleConnectionEnded()
        }

        private fun headersOf(remaining: Duration) =
            call.headers +
                (names.remainingMs to remaining.inWholeMilliseconds.coerceAtLeast(1).toString()) +
                (names.expectedTarget to call.targetId.value)

        private fun refused(
            code: ResultCode,
            reachedTarget: Boolean,
            retryAfter: Duration = gate.retryAfterRejection(),
        ) = ForwardResult.Refused(code, retryAfter, reachedTarget, gate.loadReport())

        private fun outcomeUnknown(code: ResultCode, reason: String): ForwardResult {
            log.info(
                "target_lost",
                "request" to call.requestId,
                "target" to call.targetId,
                "code" to code.number,
                "reason" to reason,
            )
            return ForwardResult.OutcomeUnknown(code, gate.loadReport())
        }

        private fun complete(result: ForwardResult) {
            if (isCompleted) return
            isCompleted = true
            onResult(result)
        }
    }

    private companion object {
        val QUARANTINE_REFUSAL = GateRefusal(ResultCode.QUARANTINED, CrashSuspects.RETRY_AFTER)

        /** Time for the response of a target that has ended a request at its deadline. */
        val DEADLINE_RESPONSE_TIME = 100.milliseconds

        /** Share group of all requests without a workspace; with a single group a gate keeps strict priority. */
        const val NO_WORKSPACE = ""
        const val MISDIRECTED_REQUEST = 421
        const val FIRST_SERVER_ERROR = 500
        const val CONTENT_ENCODING = "Content-Encoding"
        val SUCCESS_STATUSES = 200..299
        val log = eventLog("gate")
    }
}
