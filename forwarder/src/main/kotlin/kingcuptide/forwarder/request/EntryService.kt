package kingcuptide.forwarder.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.CallerWaits
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.FingerprintInput
import kingcuptide.coordination.request.Verdict
import kingcuptide.coordination.request.WeightedRoundRobin
import kingcuptide.coordination.request.serviceKeyOf
import kingcuptide.coordination.version.ForwardRoute
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.CallerRequest
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.TrafficCounts
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Serves the requests of callers: matches the route, picks targets and retries where that is safe. */
class EntryService(
    private val clock: Clock,
    private val names: HeaderNames,
    private val dependencies: EntryDependencies,
    transport: GateTransport,
    private val metrics: DaemonMetrics,
    private val counts: TrafficCounts,
) {
    private val access = EntryAccess(names, dependencies)
    private val refusals = EntryRefusals(names, dependencies, metrics)
    private val roundRobin = WeightedRoundRobin()
    private val callerWaits = CallerWaits()
    private val environment =
        ExecutionEnvironment(clock, names, dependencies, transport, metrics, counts, refusals)

    /** Returns the final response to [request]; cancellation also cancels the attempt in flight. */
    suspend fun serve(request: CallerRequest): BufferedResponse = answered(request, responseTo(request))

    /**
     * Returns the refusal of [request] because of its API key, or null if its key does not rule it out. Its body need not
     * have arrived.
     */
    fun refuseByKey(request: CallerRequest): BufferedResponse? {
        val refusal = (access.admit(request) as? Admission.Refused)?.takeIf { it.access != null } ?: return null
        return answered(request, refusals.refuse(request, refusal))
    }

    /** Returns whether [request] may be repeated; one that no route matches does not run, so that it may. */
    fun isIdempotent(request: CallerRequest): Boolean = access.routeOf(request)?.idempotent ?: true

    private fun answered(request: CallerRequest, response: BufferedResponse): BufferedResponse {
        metrics.answered(response.status)
        counts.answered(response.status)
        metrics.recordRequestDuration(clock.now() - request.receivedAt)
        return response
    }

    /** Refuses [request] because this daemon stops before it could respond. */
    fun refuseAtStop(request: CallerRequest): BufferedResponse =
        refusals.refuse(request, ResultCode.DRAINING, EntryRefusals.STOP_RETRY_AFTER)

    private suspend fun responseTo(request: CallerRequest): BufferedResponse {
        val admission = when (val admission = access.admit(request)) {
            is Admission.Refused -> return refusals.refuse(request, admission)
            is Admission.Granted -> admission
        }
        val route = admission.route
        val requestedMs = request.headers.first(names.remainingMs)?.trim()
        val requestedTimeout = if (requestedMs == null) route.timeout else requestedMs.toDoubleOrNull()?.milliseconds
        if (requestedTimeout == null || requestedTimeout.isNegative()) {
            return refusals.refuse(request, ResultCode.BAD_DEADLINE, null)
        }
        val service = roundRobin.next(route)
        if (isQuarantined(route, request)) {
            return refusals.refuse(request, ResultCode.QUARANTINED, CrashSuspects.RETRY_AFTER)
        }
        val timeout = minOf(requestedTimeout, route.timeout)
        val workspace = admission.workspace
        val retryAfter =
            workspace?.let {
                environment.cancellations.observe(admission.requestId, request.receivedAt, { null }, { 0 }) {
                    dependencies.acquireQuota(it, admission.requestId, route, timeout)
                }
            }
        if (retryAfter != null) return refusals.errorResponse(ResultCode.QUOTA_SPENT, retryAfter)
        val callingRequestId = recordArrival(request, admission, service, requestedTimeout)
        val waited = if (admission.isCall) Duration.ZERO else callerWaits.record(route.id, requestedTimeout)
        val headers = access.forwardedHeaders(request.headers, admission)
        val execution =
            RequestExecution(environment, request, admission, callingRequestId, headers, service, timeout, waited)
        val response = execution.run()
        if (workspace != null && execution.hasNotRun) dependencies.quotas.giveBack(workspace)
        return response
    }

    /** Returns the id of the running request that has made [request], if it is a call whose maker is known. */
    private fun recordArrival(
        request: CallerRequest,
        admission: Admission.Granted,
        service: ServiceId,
        remaining: Duration,
    ): String? {
        if (!admission.isCall) {
            dependencies.allowance.recordRequest(service)
            return null
        }
        metrics.callAdmitted(dependencies.running.isCallById(admission.requestId))
        val callingRequestId = dependencies.running.callerOf(admission.requestId, request.receivedAt + remaining)
        callingRequestId?.let { dependencies.running.addCalls(it, mapOf(serviceKeyOf(service) to 1)) }
        return callingRequestId
    }

    private fun isQuarantined(route: ForwardRoute, request: CallerRequest): Boolean {
        if (!dependencies.suspects.mayQuarantine) return false
        val caller = dependencies.service().value
        val input = FingerprintInput(route.id, request.method, request.target, request.body, caller)
        return dependencies.suspects.verdict(input) == Verdict.QUARANTINED
    }
}
