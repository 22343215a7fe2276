package kingcuptide.forwarder.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.Fingerprint
import kingcuptide.coordination.request.GateRefusal
import kingcuptide.coordination.request.GateRequest
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.HttpCall
import kingcuptide.forwarder.connection.HttpResult
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.Side
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Hears how the target bears itself. */
interface TargetTrouble {
    /** It answered a request that it got at [startedAt]. */
    fun heard(startedAt: Duration)

    /** A request met trouble on its way. */
    fun suspect(reason: String)

    /** No connection to it can be opened. */
    fun unreachable(reason: String)
}

/** Carries out what the gate decides: sends admitted requests to the target and judges its answers. */
class GateService(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val gate: TargetGate,
    private val client: TargetClient,
    private val names: HeaderNames,
    private val currentTarget: () -> TargetId?,
    private val trouble: TargetTrouble,
    private val suspects: CrashSuspects,
    private val metrics: DaemonMetrics,
) {
    private val running = LinkedHashSet<Run>()
    private val brokenOff = ArrayDeque<Pair<Duration, Fingerprint>>()

    /** Takes in [call]; [onEnd] is called once, perhaps before this returns, unless the call is cancelled. */
    fun submit(call: ForwardCall, onEnd: (ForwardResult) -> Unit): Cancellation {
        val run = Run(call, onEnd)
        gate.offer(run.request)
        return run
    }

    /** Returns what was in flight when the target broke its connections just now, and forgets it. */
    fun takeBrokenOff(): List<Fingerprint> {
        val now = clock.now()
        val recent = brokenOff.filter { now - it.first <= CRASH_MEMORY }.map { it.second }
        brokenOff.clear()
        return recent
    }

    private fun noteBroken(call: ForwardCall) {
        if (brokenOff.size == MAX_BROKEN) brokenOff.removeFirst()
        brokenOff.addLast(clock.now() to call.fingerprint)
    }

    /** The target is down: what may be repeated is given back at once, to be sent elsewhere. */
    fun targetDown() = running.filter { it.idempotent }.forEach { it.breakOff() }

    private inner class Run(
        private val call: ForwardCall,
        private val onEnd: (ForwardResult) -> Unit,
    ) : Cancellation {
        private val arrivedAt = clock.now()
        private val deadline = arrivedAt + call.remaining
        private var job: Job? = null
        private var sentAt: Duration? = null
        private var ended = false
        val request =
            GateRequest(
                route = call.route,
                priority = call.priority,
                deadline = deadline,
                objectiveAt = arrivedAt + call.untilObjective,
                objective = call.objective,
                onStart = ::start,
                onRefused = ::refusedByGate,
            )

        val idempotent: Boolean get() = call.idempotent

        fun breakOff() {
            end(lost(ResultCode.ANSWER_LOST, "target down"))
            job?.cancel()
        }

        override fun cancel() {
            if (ended) return
            ended = true
            gate.withdraw(request)
            val startedAt = sentAt
            if (startedAt != null) {
                log.info(
                    "gate_cancelled",
                    "request" to call.requestId,
                    "target" to call.targetId,
                    "ran_ms" to (clock.now() - startedAt).inWholeMilliseconds,
                )
            }
            job?.cancel()
        }

        private fun refusedByGate(refusal: GateRefusal) {
            val loadReport = gate.loadReport()
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
            )
            end(ForwardResult.Refused(refusal.code, refusal.retryAfter, reachedTarget = false, loadReport))
        }

        private fun start() {
            metrics.recordGateWait(clock.now() - arrivedAt)
            job = scope.launch {
                var completed = false
                running += this@Run
                try {
                    val startedAt = clock.now()
                    sentAt = startedAt
                    val end = run(startedAt)
                    completed = end is ForwardResult.Answered
                    end(end)
                } finally {
                    running -= this@Run
                    gate.ended(request, completed)
                }
            }
        }

        private suspend fun run(startedAt: Duration): ForwardResult {
            val expected = currentTarget()
            if (expected != null && expected != call.targetId) return refused(ResultCode.VERSION_BEHIND, false)
            val left = deadline - startedAt
            val sent = HttpCall(call.method, call.target, headersOf(left), call.body)
            val end =
                withTimeoutOrNull(left.inWholeMilliseconds) {
                    client.call(sent, call.idempotent) { it.first(names.requestId) in setOf(null, call.requestId) }
                }
            return when (end) {
                null -> lost(ResultCode.DEADLINE_PASSED_RUNNING, "time is up")
                is HttpResult.NotSent -> {
                    trouble.unreachable(end.reason)
                    refused(ResultCode.TARGET_DOWN, reachedTarget = false)
                }
                is HttpResult.Broken -> {
                    if (!end.begun) noteBroken(call)
                    if (!end.begun) trouble.suspect(end.reason)
                    lost(if (end.begun) ResultCode.ANSWER_TRUNCATED else ResultCode.ANSWER_LOST, end.reason)
                }
                is HttpResult.Answered -> judged(end.response, clock.now() - startedAt)
            }
        }

        private fun judged(response: BufferedResponse, ran: Duration): ForwardResult {
            trouble.heard(clock.now() - ran)
            metrics.recordTargetRunTime(ran)
            if (response.headers.first(names.notRun) != null) return refused(ResultCode.TARGET_FULL, true)
            if (response.status == MISDIRECTED) {
                trouble.suspect("another target answers")
                return refused(ResultCode.TARGET_DOWN, true)
            }
            val sound =
                response.headers.first(names.requestId) == call.requestId &&
                    response.headers.first(CONTENT_ENCODING) == null &&
                    (response.status !in SUCCESSES || response.headers.first(names.targetSignature) != null)
            if (!sound) return lost(ResultCode.ANSWER_TRUNCATED, "status=${response.status} is not the target's own")
            if (!suspects.isEmpty) suspects.answered(call.fingerprint)
            return ForwardResult.Answered(response, ran, gate.loadReport())
        }

        private fun headersOf(left: Duration) =
            call.headers +
                (names.remainingMs to left.inWholeMilliseconds.coerceAtLeast(1).toString()) +
                (names.expectedTarget to call.targetId.value)

        private fun refused(code: ResultCode, reachedTarget: Boolean) =
            ForwardResult.Refused(code, TARGET_RETRY_AFTER, reachedTarget, gate.loadReport())

        private fun lost(code: ResultCode, reason: String): ForwardResult {
            log.info(
                "target_lost",
                "request" to call.requestId,
                "target" to call.targetId,
                "code" to code.number,
                "reason" to reason,
            )
            return ForwardResult.Lost(code, gate.loadReport())
        }

        private fun end(end: ForwardResult) {
            if (ended) return
            ended = true
            onEnd(end)
        }
    }

    private companion object {
        /** Time between the end of connections and the proof that the target is gone. */
        val CRASH_MEMORY = 1_000.milliseconds
        const val MAX_BROKEN = 64
        const val MISDIRECTED = 421
        const val CONTENT_ENCODING = "Content-Encoding"
        val SUCCESSES = 200..299

        /** When to come back to a target that turned a request away itself. */
        val TARGET_RETRY_AFTER = 200.milliseconds
        val log = eventLog("gate")
    }
}
