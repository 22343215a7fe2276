package kingcuptide.daemon.request

import com.github.michaelbull.result.getOrElse
import io.ktor.server.application.ApplicationCall
import io.ktor.server.plugins.origin
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import kingcuptide.coordination.connection.HeadDraft
import kingcuptide.coordination.connection.RequestHead
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.ATTEMPT_HEADER
import kingcuptide.coordination.request.AttemptOutcome
import kingcuptide.coordination.request.CallLevel
import kingcuptide.coordination.request.ChoiceRequest
import kingcuptide.coordination.request.DEPTH_HEADER
import kingcuptide.coordination.request.Fingerprint
import kingcuptide.coordination.request.Outcome
import kingcuptide.coordination.request.RequestCounters
import kingcuptide.coordination.request.RetryBudget
import kingcuptide.coordination.request.RetryContext
import kingcuptide.coordination.request.RetryDecision
import kingcuptide.coordination.request.TargetChoice
import kingcuptide.coordination.request.TargetChooser
import kingcuptide.coordination.request.attemptOutcomeOf
import kingcuptide.coordination.request.callLevelOf
import kingcuptide.coordination.request.codeAfterEarlierAttempts
import kingcuptide.coordination.request.decideRetry
import kingcuptide.coordination.request.fingerprintOf
import kingcuptide.coordination.request.keyHash
import kingcuptide.coordination.request.retryBudget
import kingcuptide.coordination.version.Snapshot
import kingcuptide.daemon.connection.Attempt
import kingcuptide.daemon.connection.AttemptResult
import kingcuptide.daemon.connection.IncompleteRequestException
import kingcuptide.daemon.connection.PeerLinks
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.Side
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** State of the daemon that the entry queries for each request. */
interface EntryDependencies {
    /** The snapshot in force, or null before the first one. */
    fun snapshot(): Snapshot?

    /** Whether this daemon's state is recent enough to accept new requests. */
    fun canAcceptWork(): Boolean

    /** Whether a planned stop has begun. */
    fun isDraining(): Boolean

    /** Whether requests with [fingerprint] are quarantined or suspected of crashing targets. */
    fun isSuspect(fingerprint: Fingerprint): Boolean

    /** Whether [ip] is the address of a host of the fleet. */
    fun isFleetHost(ip: String): Boolean
}

/** Accepts requests of callers, chooses a target for each attempt, retries, and sends the final response. */
class EntryHandler(
    private val region: RegionId,
    private val maxRequests: Int,
    private val maxKeyedDeadline: Duration,
    private val dependencies: EntryDependencies,
    private val chooser: TargetChooser,
    private val links: PeerLinks,
    private val clock: Clock,
    private val random: Random,
    private val counters: RequestCounters,
    private val metrics: DaemonMetrics,
) {
    private val inFlight = AtomicInteger()
    private val budgets = ConcurrentHashMap<RouteId, RetryBudget>()

    /** Requests accepted and not yet completed. */
    val requestsInFlight: Int get() = inFlight.get()

    /** Handles one request of a caller. */
    suspend fun handle(call: ApplicationCall) {
        val startedAt = clock.now()
        try {
            if (inFlight.incrementAndGet() > maxRequests) return refuse(call, EntryRefusal(ResultCode.ENTRY_FULL))
            handleCounted(call, startedAt)
        } finally {
            inFlight.decrementAndGet()
            metrics.recordRequestDuration(clock.now() - startedAt)
        }
    }

    private suspend fun handleCounted(call: ApplicationCall, startedAt: Duration) {
        if (dependencies.isDraining()) return refuse(call, EntryRefusal(ResultCode.DRAINING))
        val snapshot = dependencies.snapshot() ?: return refuse(call, EntryRefusal(ResultCode.NO_CONFIGURATION))
        if (!dependencies.canAcceptWork()) return refuse(call, EntryRefusal(ResultCode.AWAKENING))
        val request = readEntryRequest(call, snapshot, region, maxKeyedDeadline).getOrElse { return refuse(call, it) }
        val body =
            try {
                EntryBody.read(call.receiveChannel(), call.request.contentLength(), isChunked(call))
            } catch (_: IncompleteRequestException) {
                return refuse(call, EntryRefusal(ResultCode.MALFORMED_REQUEST))
            }
        if (body.isUnboundedStream) return refuse(call, EntryRefusal(ResultCode.LENGTH_REQUIRED))
        if (body.prefix.size > request.route.maxBodyBytes) return refuse(call, EntryRefusal(ResultCode.BODY_TOO_LARGE))
        serve(
            call,
            ServedRequest(request, body, levelOf(call), startedAt + request.timeout, headOf(call, request, body)),
        )
    }

    private suspend fun serve(call: ApplicationCall, served: ServedRequest) {
        budgetOf(served).recordFirstAttempt()
        while (true) {
            val choice =
                when (val choice = chooser.choose(served.choiceRequest())) {
                    is TargetChoice.Chosen -> choice.entry
                    is TargetChoice.None -> return refuse(
                        call,
                        served.lastFailureOr(EntryFailure(choice.code, Outcome.NOT_RUN, choice.retryAfter)),
                    )
                }
            val failed = attempt(call, served, choice) ?: return
            val decision =
                decideRetry(
                    failed.toFailedAttempt(choice.host),
                    served.retryContext(clock.now(), isSuspect(served)),
                    budgetOf(served),
                    random,
                    counters,
                )
            served.tried += choice.host
            served.mayHaveRun = served.mayHaveRun || failed.outcome == Outcome.UNKNOWN
            served.lastFailure =
                EntryFailure(
                    codeAfterEarlierAttempts(failed.code, served.mayHaveRun),
                    if (served.mayHaveRun) Outcome.UNKNOWN else failed.outcome,
                    failed.retryAfter,
                )
            when (decision) {
                is RetryDecision.GiveUp -> return refuse(
                    call,
                    EntryFailure(decision.code, decision.outcome, decision.retryAfter),
                )
                is RetryDecision.Retry ->
                    if (!served.body.canReplay) return refuse(call, checkNotNull(served.lastFailure))
            }
            metrics.retried(failed.code)
        }
    }

    /** Makes one attempt; returns null if the response was sent to the caller, otherwise the failure. */
    private suspend fun attempt(call: ApplicationCall, served: ServedRequest, host: HostEntry): AttemptResult.Failed? =
        coroutineScope {
            chooser.begin(host.host)
            var outcome = AttemptOutcome.ABANDONED
            var load = null as kingcuptide.coordination.connection.GateLoad?
            val attempt = links.attempt(
                host,
                HeadDraft(served.headOfAttempt(), served.deadline),
                served.body.chunks(this),
            )
            try {
                when (val result = awaitResult(attempt, served.deadline)) {
                    is AttemptResult.Answered -> {
                        outcome = AttemptOutcome.ANSWERED
                        load = result.load
                        metrics.answered(result.status)
                        call.respondWithTargetResponse(result, served.request.snapshot.version)
                        null
                    }
                    is AttemptResult.Failed -> {
                        outcome = attemptOutcomeOf(result.code)
                        load = result.load
                        result
                    }
                }
            } finally {
                attempt.abandon()
                chooser.finish(host.host, outcome, load)
                coroutineContext[kotlinx.coroutines.Job]?.children?.forEach { it.cancel() }
            }
        }

    private suspend fun awaitResult(attempt: Attempt, deadline: Duration): AttemptResult {
        val result = withTimeoutOrNull(deadline - clock.now()) { attempt.result() }
        if (result != null) return result
        val outcome = attempt.abandon()
        val code = if (outcome == Outcome.NOT_RUN) ResultCode.DEADLINE_PASSED else ResultCode.DEADLINE_PASSED_RUNNING
        return AttemptResult.Failed(code, outcome, null, null)
    }

    private fun headOf(call: ApplicationCall, request: EntryRequest, body: EntryBody): RequestHead =
        RequestHead(
            number = 0,
            gateTimestampMs = 0,
            remainingMs = 0,
            version = request.snapshot.version,
            route = request.routeId,
            workspace = request.workspace,
            method = request.method,
            pathAndQuery = request.pathAndQuery,
            headers = call.request.headers.endToEnd(),
            idempotent = request.idempotent,
            keyHash = request.idempotencyKey?.takeUnless {
                request.idempotent
            }?.let { keyHash(request.workspace, request.routeId, it) },
            hasBody = body.isPresent,
        )

    private fun levelOf(call: ApplicationCall): CallLevel {
        val headers = call.request.headers
        val fromFleetHost = dependencies.isFleetHost(call.request.origin.remoteAddress)
        return callLevelOf(headers[DEPTH_HEADER], headers[ATTEMPT_HEADER], fromFleetHost)
    }

    private fun isSuspect(served: ServedRequest): Boolean {
        val request = served.request
        val fingerprint =
            fingerprintOf(request.routeId, request.method, request.pathAndQuery, served.body.prefix, request.home)
        return dependencies.isSuspect(fingerprint)
    }

    private fun budgetOf(served: ServedRequest): RetryBudget = budgets.computeIfAbsent(served.request.routeId) {
        retryBudget(clock)
    }

    private suspend fun refuse(call: ApplicationCall, refusal: EntryRefusal) {
        val outcome = refusal.code.outcome ?: Outcome.UNKNOWN
        val retryAfter = DEFAULT_RETRY_AFTER.takeIf { refusal.code.httpStatus == SERVICE_UNAVAILABLE_STATUS }
        counters.entryRefused(refusal.code)
        metrics.refused(Side.ENTRY, refusal.code)
        call.respondFailure(EntryFailure(refusal.code, outcome, retryAfter), refusal.homeRegions.map { it.value })
    }

    private suspend fun refuse(call: ApplicationCall, failure: EntryFailure) {
        metrics.refused(Side.ENTRY, failure.code)
        call.respondFailure(failure)
    }

    private class ServedRequest(
        val request: EntryRequest,
        val body: EntryBody,
        val level: CallLevel,
        val deadline: Duration,
        val head: RequestHead,
    ) {
        val tried = ArrayList<HostId>(1)
        var lastFailure: EntryFailure? = null
        var mayHaveRun: Boolean = false

        /** Marks the request as suspect if the target of the last attempt crashed. */
        fun headOfAttempt(): RequestHead =
            if (lastFailure?.code == ResultCode.TARGET_DIED) head.copy(suspect = true) else head

        fun lastFailureOr(failure: EntryFailure): EntryFailure = lastFailure ?: failure

        fun choiceRequest(): ChoiceRequest =
            ChoiceRequest(
                request.route.service,
                request.slots,
                request.home,
                request.snapshot::isTakenOut,
                tried.toSet(),
            )

        fun retryContext(now: Duration, suspect: Boolean): RetryContext =
            RetryContext(
                idempotent = request.idempotent,
                level = level,
                tried = tried.toList(),
                mayHaveRun = mayHaveRun,
                suspect = suspect,
                maxRetries = request.route.maxRetries,
                retryBudgetPercent = request.route.retryBudgetPercent,
                remaining = deadline - now,
            )
    }

    private companion object {
        const val SERVICE_UNAVAILABLE_STATUS = 503
        val DEFAULT_RETRY_AFTER = 2.seconds
    }
}

private fun AttemptResult.Failed.toFailedAttempt(host: HostId) =
    kingcuptide.coordination.request.FailedAttempt(host, code, outcome, retryAfter)
