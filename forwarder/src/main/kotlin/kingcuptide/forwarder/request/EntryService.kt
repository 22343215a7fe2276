package kingcuptide.forwarder.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.DaemonLocation
import kingcuptide.coordination.request.Outcome
import kingcuptide.coordination.request.PickRequest
import kingcuptide.coordination.request.RetryAllowance
import kingcuptide.coordination.request.TargetPicker
import kingcuptide.coordination.request.Verdict
import kingcuptide.coordination.request.WeightedRoundRobin
import kingcuptide.coordination.request.codeAfterEarlierAttempts
import kingcuptide.coordination.request.fingerprintOf
import kingcuptide.coordination.version.ForwardRoute
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.CallerRequest
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.connection.endToEnd
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.Side
import kingcuptide.forwarder.process.TrafficCounts
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import java.util.Locale
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The ways from this daemon to the gates of targets. */
interface GateTransport {
    /** Whether a request can be sent to the gate of [target] at once. */
    fun isOpen(target: KnownTarget): Boolean

    /** Sends [call]; [onEnd] is called once, perhaps before this returns, unless the call is cancelled. */
    fun submit(target: KnownTarget, call: ForwardCall, onEnd: (ForwardResult) -> Unit): Cancellation
}

/** What an entry knows of its surroundings. */
class EntryKnowledge(
    val service: () -> ServiceId,
    val place: DaemonLocation,
    val picture: PublishedState,
    val picker: TargetPicker,
    val allowance: RetryAllowance,
    val suspects: CrashSuspects,
)

/** Serves the requests of callers: finds the route, chooses targets, and repeats what may be repeated. */
class EntryService(
    private val clock: Clock,
    private val names: HeaderNames,
    private val knowledge: EntryKnowledge,
    private val ways: GateTransport,
    private val metrics: DaemonMetrics,
    private val counts: TrafficCounts,
) {
    private val turns = WeightedRoundRobin()

    /** Returns the final answer to [request]; cancellation breaks off what was sent. */
    suspend fun serve(request: CallerRequest): BufferedResponse {
        val response = response(request)
        metrics.answered(response.status)
        counts.answered(response.status)
        metrics.recordRequestDuration(clock.now() - request.receivedAt)
        return response
    }

    /** Refuses [request], since this daemon ends before it could be answered. */
    fun refuseAtStop(request: CallerRequest): BufferedResponse = refuse(request, ResultCode.DRAINING, STOP_WAIT)

    private suspend fun response(request: CallerRequest): BufferedResponse {
        val routing =
            knowledge.picture.routing ?: return refuse(request, ResultCode.NO_CONFIGURATION, NO_CONFIGURATION_WAIT)
        val requestId = request.headers.first(names.requestId)
        if (requestId.isNullOrEmpty()) return refuse(request, ResultCode.MALFORMED_REQUEST, null)
        val host = request.headers.first("Host").orEmpty().substringBefore(':').lowercase(Locale.ROOT)
        val route = routing.match(host, request.path) ?: return refuse(request, ResultCode.UNKNOWN_ROUTE, null)
        val askedMs = request.headers.first(names.remainingMs)?.trim()
        val asked = if (askedMs == null) route.timeout else askedMs.toDoubleOrNull()?.milliseconds
        if (asked == null || asked.isNegative()) return refuse(request, ResultCode.BAD_DEADLINE, null)
        val service = turns.next(route)
        if (isQuarantined(route, request)) return refuse(request, ResultCode.QUARANTINED, QUARANTINE_WAIT)
        knowledge.allowance.recordRequest(service)
        val serving = Serving(request, requestId, route, service, minOf(asked, route.timeout))
        return serving.run()
    }

    private fun isQuarantined(route: ForwardRoute, request: CallerRequest): Boolean {
        if (knowledge.suspects.isEmpty) return false
        val fingerprint = fingerprintOf(route.id, request.method, request.target, request.body)
        return knowledge.suspects.verdict(fingerprint) == Verdict.QUARANTINED
    }

    private inner class Serving(
        private val request: CallerRequest,
        private val requestId: String,
        private val route: ForwardRoute,
        private val service: ServiceId,
        limit: Duration,
    ) {
        private val deadline = request.receivedAt + limit
        private val objectiveAt = request.receivedAt + route.objective

        /** A call of a running request should be quick, but is of use as long as that request can go on. */
        private val patience = if (request.fromTarget) limit else route.objective
        private val headers = forwardedHeaders(request.headers)
        private val tried = LinkedHashSet<TargetId>()
        private var reached = 0
        private var hops = 0
        private var mayHaveRun = false
        private var inFlightAt: KnownTarget? = null
        private var soonest: ForwardResult.Refused? = null

        suspend fun run(): BufferedResponse {
            val limitMs = (deadline - clock.now()).inWholeMilliseconds
            val response = if (limitMs > 0) withTimeoutOrNull(limitMs) { attempts() } else null
            if (response != null) return response
            val code = if (mayHaveRun ||
                inFlightAt != null
            ) {
                ResultCode.DEADLINE_PASSED_RUNNING
            } else {
                ResultCode.DEADLINE_PASSED
            }
            return giveUp(code, null, "time is up")
        }

        private suspend fun attempts(): BufferedResponse {
            while (true) {
                val target = pick() ?: return noneLeft()
                tried += target.entry.id
                val end = attempt(target)
                end.loadReport?.let { knowledge.picker.recordLoadReport(target.entry.id, it) }
                val response = when (end) {
                    is ForwardResult.Answered -> answered(target, end)
                    is ForwardResult.Refused -> refused(target, end)
                    is ForwardResult.Lost -> lost(target, end)
                }
                if (response != null) return response
            }
        }

        private fun noneLeft(): BufferedResponse {
            val refusal = soonest ?: return giveUp(truthful(ResultCode.NO_TARGET), NO_TARGET_WAIT, "no target")
            return giveUp(truthful(refusal.code), refusal.retryAfter, "refused by all of ${tried.size}")
        }

        private fun pick(): KnownTarget? {
            val takenOut = knowledge.picture.takenOut
            val candidates = knowledge.picture.targetsOf(service).filter {
                !it.entry.leaving && it.entry.failureDomain !in takenOut && isHome(it) && ways.isOpen(it)
            }
            val now = clock.now()
            return knowledge.picker.pick(
                candidates,
                PickRequest(route.id, route.objective, objectiveAt - now, deadline - now, request.body.size, tried),
            )
        }

        private fun isHome(target: KnownTarget): Boolean =
            route.homeRegions.isEmpty() || knowledge.place.regionOf(target.entry.failureDomain) in route.homeRegions

        private suspend fun attempt(target: KnownTarget): ForwardResult {
            val now = clock.now()
            val call =
                ForwardCall(
                    requestId,
                    request.method,
                    request.target,
                    headers,
                    request.body,
                    deadline - now,
                    request.receivedAt + patience - now,
                    patience,
                    route.id,
                    if (request.fromTarget) INTERNAL_RANK else route.priority,
                    route.idempotent,
                    target.entry.id,
                )
            knowledge.picker.sent(target.entry.id)
            inFlightAt = target
            val end = suspendCancellableCoroutine { continuation ->
                val cancellation = ways.submit(target, call) { if (continuation.isActive) continuation.resume(it) }
                continuation.invokeOnCancellation {
                    knowledge.picker.abandoned(target.entry.id)
                    cancellation.cancel()
                }
            }
            inFlightAt = null
            return end
        }

        private fun answered(target: KnownTarget, end: ForwardResult.Answered): BufferedResponse? {
            val sound = end.response.status < FIRST_SERVER_ERROR
            val bytes = end.response.body.size
            knowledge.picker.answered(target.entry.id, route.id, route.objective, end.ran, bytes, sound)
            reached++
            counts.exchanged(knowledge.place.distanceTo(target.entry.failureDomain), request.body.size + bytes)
            if (!sound && route.idempotent && mayRepeat()) {
                mayHaveRun = true
                noteRepeat(target, ResultCode.TARGET_OVERLOADED, "status ${end.response.status}")
                return null
            }
            if (!sound) {
                log.info(
                    "request_failed_by_target",
                    "request" to requestId,
                    "target" to target.entry.id,
                    "status" to end.response.status,
                )
            }
            return BufferedResponse(end.response.status, endToEnd(end.response.headers), end.response.body)
        }

        private fun refused(target: KnownTarget, end: ForwardResult.Refused): BufferedResponse? {
            if (end.reachedTarget) {
                reached++
                knowledge.picker.failed(target.entry.id)
            } else {
                hops++
                knowledge.picker.refused(target.entry.id, end.code !in CROWDED)
            }
            val refusal = soonest?.takeIf { it.retryAfter < end.retryAfter } ?: end
            soonest = refusal
            val goesOn = if (end.reachedTarget) mayRepeat() else hops < MAX_HOPS
            if (goesOn) {
                noteRepeat(target, end.code, "refused")
                return null
            }
            return giveUp(truthful(refusal.code), refusal.retryAfter, "refused by ${target.entry.id}")
        }

        private fun lost(target: KnownTarget, end: ForwardResult.Lost): BufferedResponse? {
            reached++
            mayHaveRun = true
            knowledge.picker.failed(target.entry.id)
            if (route.idempotent && end.code in REPEATABLE && mayRepeat()) {
                noteRepeat(target, end.code, "lost")
                return null
            }
            return giveUp(end.code, null, "lost at ${target.entry.id}")
        }

        private fun mayRepeat(): Boolean =
            reached < route.maxTargets &&
                deadline - clock.now() > MIN_TIME_LEFT &&
                knowledge.allowance.tryAcquire(service)

        private fun truthful(code: ResultCode): ResultCode = codeAfterEarlierAttempts(code, mayHaveRun)

        private fun noteRepeat(target: KnownTarget, code: ResultCode, reason: String) {
            metrics.retried(code)
            log.info(
                "request_repeated",
                "request" to requestId,
                "target" to target.entry.id,
                "code" to code.number,
                "reason" to reason,
            )
        }

        private fun giveUp(code: ResultCode, retryAfter: Duration?, reason: String): BufferedResponse {
            val tookMs = (clock.now() - request.receivedAt).inWholeMilliseconds
            log.info(
                "request_given_up",
                "request" to requestId,
                "route" to route.id,
                "service" to service,
                "code" to code.number,
                "status" to statusOf(code),
                "reason" to reason,
                "took_ms" to tookMs,
                "target" to inFlightAt?.entry?.id,
                "reached" to reached,
                "hops" to hops,
                "knowledge_age_ms" to knowledge.picture.age().inWholeMilliseconds,
            )
            return ownAnswer(code, retryAfter)
        }
    }

    private fun forwardedHeaders(headers: Headers): Headers {
        val own = setOf(names.remainingMs, names.callerService, names.expectedTarget).map { it.lowercase(Locale.ROOT) }
        return endToEnd(headers).filter { it.first.lowercase(Locale.ROOT) !in own } +
            (names.callerService to knowledge.service().value)
    }

    private fun refuse(request: CallerRequest, code: ResultCode, retryAfter: Duration?): BufferedResponse {
        log.info(
            "request_refused",
            "request" to request.headers.first(names.requestId),
            "code" to code.number,
            "status" to statusOf(code),
            "version" to knowledge.picture.routing?.number,
            "path" to request.path,
        )
        return ownAnswer(code, retryAfter)
    }

    private fun ownAnswer(code: ResultCode, retryAfter: Duration?): BufferedResponse {
        metrics.refused(Side.ENTRY, code)
        val status = statusOf(code)
        val headers = ArrayList<Pair<String, String>>(2)
        headers += RESULT_CODE to code.number.toString()
        if (retryAfter != null && status == UNAVAILABLE) {
            headers += RETRY_AFTER to String.format(Locale.ROOT, "%.3f", retryAfter.toDouble(DurationUnit.SECONDS))
        }
        return BufferedResponse(status, headers, NO_BYTES)
    }

    /** What has not run is worth coming back with, unless the request itself is at fault. */
    private fun statusOf(code: ResultCode): Int {
        val mayComeBack = code.outcome == Outcome.NOT_RUN && code.httpStatus >= FIRST_SERVER_ERROR
        return if (mayComeBack || code == ResultCode.QUARANTINED) UNAVAILABLE else code.httpStatus
    }

    private companion object {
        const val RETRY_AFTER = "Retry-After"
        const val RESULT_CODE = "Kingcuptide-Code"
        const val UNAVAILABLE = 503
        const val FIRST_SERVER_ERROR = 500

        /** A call that a running request waits for goes before new requests. */
        const val INTERNAL_RANK = -1

        /** Gates that one request may be turned away by before it is refused. */
        const val MAX_HOPS = 3

        /** Time that a repeat must have left to be of use. */
        val MIN_TIME_LEFT = 10.milliseconds
        val NO_CONFIGURATION_WAIT = 500.milliseconds
        val QUARANTINE_WAIT = 30.seconds
        val STOP_WAIT = 200.milliseconds
        val NO_TARGET_WAIT = 300.milliseconds
        val CROWDED = setOf(ResultCode.TARGET_FULL, ResultCode.TARGET_COLD, ResultCode.DEADLINE_PASSED)
        val REPEATABLE =
            setOf(
                ResultCode.ANSWER_LOST,
                ResultCode.ANSWER_TRUNCATED,
                ResultCode.TARGET_DIED,
                ResultCode.PEER_UNREACHABLE,
            )
        val log = eventLog("entry")
    }
}
