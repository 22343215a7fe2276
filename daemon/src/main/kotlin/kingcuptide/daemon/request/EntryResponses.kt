package kingcuptide.daemon.request

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kingcuptide.daemon.connection.AttemptResult
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Error response of kingcuptide to a caller. [retryAfter] is null if no retry time is advised. */
internal data class EntryFailure(
    val code: ResultCode,
    val outcome: Outcome,
    val retryAfter: Duration?,
)

/** Responds with the result code, the outcome, the retry time if there is one, and the allowed home regions. */
internal suspend fun ApplicationCall.respondFailure(failure: EntryFailure, homeRegions: List<String> = emptyList()) {
    response.header(KingcuptideHeaders.CODE, failure.code.number.toString())
    response.header(KingcuptideHeaders.OUTCOME, outcomeText(failure.outcome))
    failure.retryAfter?.let { response.header(HttpHeaders.RetryAfter, it.inWholeSecondsRoundedUp().toString()) }
    if (homeRegions.isNotEmpty()) response.header(KingcuptideHeaders.HOME_REGIONS, homeRegions.joinToString(","))
    val status = HttpStatusCode.fromValue(failure.code.httpStatus.takeIf { it > 0 } ?: HttpStatusCode.BadGateway.value)
    val text = "code=${failure.code.number} name=${failure.code.name} outcome=${outcomeText(failure.outcome)}\n"
    respondText(text, ContentType.Text.Plain, status)
}

/** Streams the target's response to the caller. A truncated body aborts the connection, so it never looks complete. */
internal suspend fun ApplicationCall.respondWithTargetResponse(targetResponse: AttemptResult.Answered, version: Long) {
    val content = contentHeadersOf(targetResponse)
    for (header in targetResponse.headers) {
        if (header.name.lowercase() !in
            contentHeaders
        ) {
            response.headers.append(header.name, header.value, safeOnly = false)
        }
    }
    response.header(KingcuptideHeaders.VERSION, version.toString())
    respond(ForwardedResponse(targetResponse, content))
}

private data class ContentHeaders(
    val type: ContentType?,
    val length: Long?,
)

private fun contentHeadersOf(targetResponse: AttemptResult.Answered): ContentHeaders {
    val byName = targetResponse.headers.associate { it.name.lowercase() to it.value }
    val type = byName["content-type"]?.let { runCatching { ContentType.parse(it) }.getOrNull() }
    return ContentHeaders(type, byName["content-length"]?.toLongOrNull())
}

private class ForwardedResponse(
    private val targetResponse: AttemptResult.Answered,
    private val content: ContentHeaders,
) : OutgoingContent.WriteChannelContent() {
    override val status: HttpStatusCode = HttpStatusCode.fromValue(targetResponse.status)
    override val contentType: ContentType? = content.type
    override val contentLength: Long? = content.length

    override suspend fun writeTo(channel: ByteWriteChannel) {
        for (chunk in targetResponse.body.chunks) {
            channel.writeFully(chunk)
            channel.flush()
            targetResponse.body.consumed(chunk.size)
        }
    }
}

private fun outcomeText(outcome: Outcome): String =
    when (outcome) {
        Outcome.NOT_RUN -> "not-run"
        Outcome.UNKNOWN -> "unknown"
    }

private fun Duration.inWholeSecondsRoundedUp(): Long = kotlin.math.ceil(toDouble(DurationUnit.SECONDS)).toLong()

private val contentHeaders = setOf("content-type", "content-length")
