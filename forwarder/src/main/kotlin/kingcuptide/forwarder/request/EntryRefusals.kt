package kingcuptide.forwarder.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.CallerRequest
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.Side
import kingcuptide.forwarder.process.eventLog
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Builds, counts and logs the refusals of an entry. */
internal class EntryRefusals(
    private val names: HeaderNames,
    private val dependencies: EntryDependencies,
    private val metrics: DaemonMetrics,
) {
    fun refuse(request: CallerRequest, code: ResultCode, retryAfter: Duration?): BufferedResponse =
        refuse(request, Admission.Refused(code, retryAfter))

    /** The log line never has the authorization of the request, nor its query. */
    fun refuse(request: CallerRequest, refusal: Admission.Refused): BufferedResponse {
        val fields = arrayListOf<Pair<String, Any?>>(
            "request" to request.headers.first(names.requestId),
            "code" to refusal.code.number,
            "status" to statusOf(refusal.code),
            "version" to dependencies.published.routing?.number,
            "path" to request.path,
        )
        refusal.route?.let { fields += "route" to it.id }
        refusal.access?.let { access ->
            fields += "reason" to access.reason
            access.workspace?.let { fields += "workspace" to it.name }
            fields += "knowledge_age_ms" to knowledgeAgeMs()
        }
        log.info("request_refused", *fields.toTypedArray())
        val challenge = if (statusOf(refusal.code) == UNAUTHORIZED) refusal.scheme else null
        return errorResponse(refusal.code, refusal.retryAfter, listOfNotNull(challenge?.let { CHALLENGE_HEADER to it }))
    }

    fun errorResponse(code: ResultCode, retryAfter: Duration?, added: Headers = emptyList()): BufferedResponse {
        metrics.refused(Side.ENTRY, code)
        val status = statusOf(code)
        val headers = ArrayList<Pair<String, String>>(2)
        headers += RESULT_CODE_HEADER to code.number.toString()
        headers += added
        if (retryAfter != null && status in STATUSES_WITH_RETRY_AFTER) {
            headers += RETRY_AFTER_HEADER to
                String.format(Locale.ROOT, "%.3f", retryAfter.toDouble(DurationUnit.SECONDS))
        }
        return BufferedResponse(status, headers, NO_BYTES)
    }

    /** A request that has not run gets 503, so that the caller retries it, unless the request itself is invalid. */
    fun statusOf(code: ResultCode): Int {
        val isRetryable = code.outcome == Outcome.NOT_RUN && code.httpStatus >= FIRST_SERVER_ERROR
        return if (isRetryable || code == ResultCode.QUARANTINED) SERVICE_UNAVAILABLE else code.httpStatus
    }

    /** Time since the published state was last known to be current, or -1 if it never was. */
    fun knowledgeAgeMs(): Long = dependencies.knowledgeAgeMs()

    companion object {
        /** Retry delay of a request that this daemon refuses since it stops. */
        val STOP_RETRY_AFTER: Duration = 200.milliseconds
        private const val RETRY_AFTER_HEADER = "Retry-After"
        private const val RESULT_CODE_HEADER = "Kingcuptide-Code"
        private const val CHALLENGE_HEADER = "WWW-Authenticate"
        private const val UNAUTHORIZED = 401
        private const val SERVICE_UNAVAILABLE = 503
        private val STATUSES_WITH_RETRY_AFTER = setOf(429, SERVICE_UNAVAILABLE)
        private const val FIRST_SERVER_ERROR = 500
        private val log = eventLog("entry")
    }
}
