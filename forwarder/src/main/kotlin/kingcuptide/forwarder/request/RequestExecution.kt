package kingcuptide.forwarder.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.CallCosts
import kingcuptide.coordination.request.CallCounts
import kingcuptide.coordination.request.Outcome
import kingcuptide.coordination.request.PickRequest
import kingcuptide.coordination.request.TargetPick
import kingcuptide.coordination.request.codeAfterEarlierAttempts
import kingcuptide.coordination.request.instance
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.CallerRequest
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.endToEnd
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.connection.isHttpStatus
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.TrafficCounts
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What all requests of an entry share. */
internal class ExecutionEnvironment(
    val clock: Clock,
    val names: HeaderNames,
    val dependencies: EntryDependencies,
    val transport: GateTransport,
    val metrics: DaemonMetrics,
    val counts: TrafficCounts,
    val refusals: EntryRefusals,
) {
    val candidates = CandidateTargets(dependencies, transport)
    val callCosts = CallCosts()
    val cancellations = EntryCancellations(clock, metrics)
}

/**
 * The life of one admitted request at its entry: targets are picked and asked in turn, and asked again where that is
 * safe, until there is a response, no target is left or the time is up.
 *
 * While a target is silent, an idempotent request is also sent to another one; the first response is that of the request.
 *
 * @param callingRequestId id of the running request of the target beside this daemon that has made this call, if known
 * @param headers what the target gets of the headers
 * @param waited how long the caller has waited before this attempt of its own
 */
internal class RequestExecution(
    private val environment: ExecutionEnvironment,
    private val request: CallerRequest,
    private val admission: Admission.Granted,
    private val callingRequestId: String?,
    private val headers: Headers,
    private val service: ServiceId,
    timeout: Duration,
    waited: Duration,
) {
    private val clock = environment.clock
    private val dependencies = environment.dependencies
    private val candidates = environment.candidates
    private val requestId = admission.requestId
    private val route = admission.route
    private val workspace = admission.workspace
    private val isCall = admission.isCall
    private val deadline = request.receivedAt + timeout

    /** Counts from the first attempt of the caller, so that a retry does not delay requests that can be on time. */
    private val objectiveAt = request.receivedAt + route.objective - waited

    /** A call from a running request should be fast, but its response is of use until the deadline. */
    private val queueTimeout = if (isCall) timeout else route.objective
    private val queueUntil = if (isCall) deadline else objectiveAt
    private val triedTargets = LinkedHashSet<TargetId>()
    private var targetsReached = 0
    private var gateRefusals = 0
    private var mayHaveRun = false
    private val running = RunningAttempts { dependencies.picker.abandoned(it.target.entry.id) }
    private var soonestRefusal: ForwardResult.Refused? = null

    /** Whether the request was given up before any target began to work on it. */
    var hasNotRun = false
        private set

    suspend fun run(): BufferedResponse =
        environment.cancellations.observe(
            requestId,
            request.receivedAt,
            { running.latestTarget?.entry?.id },
            { targetsReached },
        ) { responseByDeadline() }

    private suspend fun responseByDeadline(): BufferedResponse {
        val remainingMs = (deadline - clock.now()).inWholeMilliseconds
        val response = if (remainingMs > 0) withTimeoutOrNull(remainingMs) { attempts() } else null
        if (response != null) return response
        val mayRun = mayHaveRun || running.mayRun
        return giveUp(
            GiveUp(if (mayRun) ResultCode.DEADLINE_PASSED_RUNNING else ResultCode.DEADLINE_PASSED, null, "time is up"),
        )
    }

    private suspend fun attempts(): BufferedResponse =
        try {
            responseOfAttempts()
        } finally {
            running.abandonAll()
        }

    private suspend fun responseOfAttempts(): BufferedResponse {
        while (true) {
            var step = startAttempt() ?: nextStep()
            // An attempt at a silent target may still bring a response.
            while (step is GiveUp && !running.isEmpty) step = nextStep()
            when (step) {
                is Respond -> return step.response
                is GiveUp -> return giveUp(step)
                TryAnother -> dependencies.awaitTurn()
            }
        }
    }

    /** Sends the request to the best target left; returns null once it is sent. */
    private suspend fun startAttempt(): GiveUp? {
        val (target, reason) = pick() ?: awaitTargetInUse() ?: return noCandidateLeft()
        if (exitsBeforeResponse(target)) {
            return GiveUp(reportableCode(ResultCode.DRAINING), EntryRefusals.STOP_RETRY_AFTER, "this daemon exits")
        }
        triedTargets += target.entry.id
        submit(Attempt(target, reason, clock.now(), expectedTimeToFinish(target)))
        return null
    }

    private suspend fun nextStep(): Step {
        while (true) {
            val event = running.next()
            val target = event.attempt.target
            when (event) {
                is AttemptEvent.Completed -> {
                    event.result.loadReport?.let { dependencies.recordLoadReport(target.entry, it) }
                    return stepAfter(event.attempt, event.result)
                }
                is AttemptEvent.TargetSilent -> {
                    event.loadReport?.let { dependencies.recordLoadReport(target.entry, it) }
                    if (shouldTryBeside(event.attempt)) return TryAnother
                }
            }
        }
    }

    private fun stepAfter(attempt: Attempt, result: ForwardResult): Step = when (result) {
        is ForwardResult.Answered -> handleResponse(attempt, result)
        is ForwardResult.Refused -> handleRefusal(attempt, result)
        is ForwardResult.OutcomeUnknown -> handleUnknownOutcome(attempt, result)
    }

    /** Whether another target is asked while that of [attempt] is silent; a silent target may still respond. */
    private fun shouldTryBeside(attempt: Attempt): Boolean {
        if (!route.idempotent || attempt.isCounted) return false
        countReached(attempt)
        if (!acquireRetry()) return false
        mayHaveRun = true
        recordRetry(attempt.target, ResultCode.ANSWER_LOST, "silent")
        return true
    }

    private fun countReached(attempt: Attempt) {
        if (!attempt.isCounted) targetsReached++
        attempt.isCounted = true
    }

    private fun noCandidateLeft(): GiveUp {
        val refusal = soonestRefusal ?: return noTarget()
        return GiveUp(reportableCode(refusal.code), refusal.retryAfter, "refused by all of ${triedTargets.size}")
    }

    private fun noTarget(): GiveUp {
        val isConfirmed = dependencies.published.isConfirmed
        val code = if (isConfirmed) ResultCode.NO_TARGET else ResultCode.TARGETS_UNCONFIRMED
        val reason = if (isConfirmed) "no target" else "no target known to be in use since the start"
        return GiveUp(reportableCode(code), NO_TARGET_RETRY_AFTER, reason)
    }

    /** Waits a short time for the gates of targets, which tell a daemon that has just started what is in use. */
    private suspend fun awaitTargetInUse(): TargetPick? {
        repeat(MAX_IN_USE_CHECKS) {
            if (dependencies.published.isConfirmed || triedTargets.isNotEmpty()) return pick()
            delay(IN_USE_CHECK_INTERVAL.inWholeMilliseconds)
            pick()?.let { return it }
        }
        return null
    }

    private fun pick(): TargetPick? {
        val now = clock.now()
        val criteria = PickRequest(
            route.id,
            route.objective,
            objectiveAt - now,
            dependencies.responseBy(deadline) - now,
            request.body.size,
            triedTargets,
            admission.homeRegions,
            isRefused = gateRefusals > 0,
        )
        return dependencies.picker.pick(candidates.of(service, admission.homeRegions), criteria)
    }

    /** Whether this daemon stops and exits before a response of [target] is expected; another one can wait for it. */
    private fun exitsBeforeResponse(target: KnownTarget): Boolean {
        val responseBy = dependencies.responseBy(deadline)
        return responseBy < deadline && clock.now() + expectedTimeToFinish(target) > responseBy
    }

    private fun expectedTimeToFinish(target: KnownTarget): Duration =
        dependencies.picker.expectedTimeToFinish(target, route.id, route.objective)

    private fun submit(attempt: Attempt) {
        val target = attempt.target
        val call =
            ForwardCall(
                requestId,
                request.method,
                request.target,
                headers,
                request.body,
                dependencies.responseBy(deadline) - attempt.startedAt,
                queueUntil - attempt.startedAt,
                queueTimeout,
                route.id,
                if (isCall) INTERNAL_PRIORITY else workspace?.priority ?: route.priority,
                route.idempotent,
                target.entry.id,
                workspace?.name,
                dependencies.picker.lastRate(target.entry.id),
                dependencies.picker.lostRunTimes(target.entry.id),
            ) { running.post(AttemptEvent.TargetSilent(attempt, it)) }
        dependencies.picker.sent(target.entry.id)
        running.start(attempt) {
            environment.transport.submit(target, call) { running.post(AttemptEvent.Completed(attempt, it)) }
        }
    }

    private fun handleResponse(attempt: Attempt, result: ForwardResult.Answered): Step {
        val target = attempt.target
        environment.metrics.recordTimeToFinish(attempt.expectedTime, clock.now() - attempt.startedAt)
        val response = result.response.run { BufferedResponse(status, endToEnd(headers), body) }
        if (!isOwn(response)) return handleForeignResponse(attempt, response)
        val successful = response.status < FIRST_SERVER_ERROR
        val bytes = response.body.size
        dependencies.picker.answered(target.entry.id, route.id, route.objective, result.runTime, bytes, successful)
        if (saysLeaving(result.response.headers, environment.names)) {
            dependencies.recordLeaving(target.entry.instance)
        }
        result.loadReport?.let { dependencies.picker.recordRate(target.entry.id, it.ratePerSecond) }
        if (successful) result.calls?.let(::recordCalls)
        countReached(attempt)
        val distance = dependencies.location.distanceTo(target.entry.failureDomain)
        environment.counts.exchanged(route.id, distance, attempt.reason, request.body.size + bytes)
        if (!successful && route.idempotent && acquireRetry()) {
            mayHaveRun = true
            recordRetry(target, ResultCode.TARGET_OVERLOADED, "status ${response.status}")
            return TryAnother
        }
        if (mayHaveRun && response.status in NOT_RUN_STATUSES) {
            return GiveUp(ResultCode.ANSWER_LOST, null, "status ${response.status} after an earlier attempt")
        }
        if (!successful) {
            log.info(
                "request_failed_by_target",
                "request" to requestId,
                "target" to target.entry.id,
                "status" to response.status,
                "target_speed" to speedOf(target),
            )
        }
        return Respond(response)
    }

    /** The gate checks this first. What is lost or mixed up behind it must not reach the caller. */
    private fun isOwn(response: BufferedResponse): Boolean {
        val names = environment.names
        val isSigned = response.status !in SUCCESS_STATUSES || response.headers.first(names.targetSignature) != null
        return isHttpStatus(response.status) && isSigned && response.headers.first(names.requestId) == requestId
    }

    private fun handleForeignResponse(attempt: Attempt, response: BufferedResponse): Step {
        log.warn(
            "foreign_response",
            "request" to requestId,
            "response" to response.headers.first(environment.names.requestId),
            "target" to attempt.target.entry.id,
            "status" to response.status,
            "bytes" to response.body.size,
        )
        return handleUnknownOutcome(attempt, ForwardResult.OutcomeUnknown(ResultCode.ANSWER_TRUNCATED, null))
    }

    private fun handleRefusal(attempt: Attempt, result: ForwardResult.Refused): Step {
        val target = attempt.target
        environment.counts.refused(dependencies.location.distanceTo(target.entry.failureDomain), request.body.size)
        if (result.code == ResultCode.QUARANTINED) {
            return GiveUp(reportableCode(result.code), result.retryAfter, "quarantined at ${target.entry.id}")
        }
        if (result.reachedTarget) {
            countReached(attempt)
            dependencies.picker.failed(target.entry.id)
        } else {
            gateRefusals++
            dependencies.picker.refused(target.entry.id, result.code !in BUSY_CODES)
        }
        val refusal = soonestRefusal?.takeIf { it.retryAfter < result.retryAfter } ?: result
        soonestRefusal = refusal
        val shouldRetry = if (result.reachedTarget) acquireRetry() else gateRefusals < MAX_GATE_REFUSALS
        if (shouldRetry) {
            recordRetry(target, result.code, "refused")
            return TryAnother
        }
        return GiveUp(reportableCode(refusal.code), refusal.retryAfter, "refused by ${target.entry.id}")
    }

    private fun handleUnknownOutcome(attempt: Attempt, result: ForwardResult.OutcomeUnknown): Step {
        val target = attempt.target
        countReached(attempt)
        mayHaveRun = true
        dependencies.picker.failed(target.entry.id)
        if (route.idempotent && result.code in RETRYABLE_CODES && acquireRetry()) {
            recordRetry(target, result.code, "lost")
            return TryAnother
        }
        return GiveUp(result.code, null, "lost at ${target.entry.id}")
    }

    private fun acquireRetry(): Boolean =
        targetsReached < route.maxTargets &&
            dependencies.responseBy(deadline) - clock.now() > MIN_RETRY_TIME &&
            dependencies.allowance.tryAcquire(service, environment.callCosts.of(route.id))

    private fun recordCalls(calls: CallCounts) {
        environment.callCosts.record(route.id, calls)
        callingRequestId?.let { dependencies.running.addCalls(it, calls) }
    }

    private fun reportableCode(code: ResultCode): ResultCode = codeAfterEarlierAttempts(code, mayHaveRun)

    private fun recordRetry(target: KnownTarget, code: ResultCode, reason: String) {
        environment.metrics.retried(code)
        log.info(
            "request_repeated",
            "request" to requestId,
            "target" to target.entry.id,
            "code" to code.number,
            "reason" to reason,
            "target_speed" to speedOf(target),
        )
    }

    private fun speedOf(target: KnownTarget): String =
        "%.2f".format(Locale.ROOT, dependencies.picker.assumedSpeed(target.entry.id))

    private fun giveUp(decision: GiveUp): BufferedResponse {
        val code = decision.code
        hasNotRun = code.outcome == Outcome.NOT_RUN && !mayHaveRun
        val tookMs = (clock.now() - request.receivedAt).inWholeMilliseconds
        log.info(
            "request_given_up",
            "request" to requestId,
            "route" to route.id,
            "service" to service,
            "workspace" to workspace?.name,
            "code" to code.number,
            "status" to environment.refusals.statusOf(code),
            "reason" to decision.reason,
            "took_ms" to tookMs,
            "target" to running.latestTarget?.entry?.id,
            "target_speed" to running.latestTarget?.let(::speedOf),
            "reached" to targetsReached,
            "hops" to gateRefusals,
            "knowledge_age_ms" to environment.refusals.knowledgeAgeMs(),
        )
        return environment.refusals.errorResponse(code, decision.retryAfter)
    }

    /** What follows an event of an attempt. */
    private sealed interface Step

    private class Respond(
        val response: BufferedResponse,
    ) : Step

    private data object TryAnother : Step

    private class GiveUp(
        val code: ResultCode,
        val retryAfter: Duration?,
        val reason: String,
    ) : Step

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        val SUCCESS_STATUSES = 200..299

        /** Statuses that promise that a request has not run. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)

        /** Calls that a running request waits for start before new requests. */
        const val INTERNAL_PRIORITY = -1

        /** Gate refusals after which a request is refused to its caller. */
        const val MAX_GATE_REFUSALS = 3

        /** Remaining time below which a retry is pointless. */
        val MIN_RETRY_TIME = 10.milliseconds
        val NO_TARGET_RETRY_AFTER = 300.milliseconds

        /**
         * Together 300 ms: after a start of all daemons, the first health check and the ping that tells its result take
         * about 250 ms.
         */
        const val MAX_IN_USE_CHECKS = 15
        val IN_USE_CHECK_INTERVAL = 20.milliseconds

        /** Refusals by a gate that is open; any other code means that it is closed. */
        val BUSY_CODES = setOf(
            ResultCode.TARGET_FULL,
            ResultCode.TARGET_COLD,
            ResultCode.TARGET_RATE_SPENT,
            ResultCode.DEADLINE_PASSED,
        )
        val RETRYABLE_CODES =
            setOf(
                ResultCode.ANSWER_LOST,
                ResultCode.ANSWER_TRUNCATED,
                ResultCode.TARGET_DIED,
                ResultCode.PEER_UNREACHABLE,
            )
        val log = eventLog("entry")
    }
}
