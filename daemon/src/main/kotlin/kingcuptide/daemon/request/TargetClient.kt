package kingcuptide.daemon.request

import io.ktor.client.HttpClient
import io.ktor.client.engine.java.Java
import io.ktor.client.request.HttpRequestData
import io.ktor.client.request.ResponseAdapter
import io.ktor.client.request.ResponseAdapterAttributeKey
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.http.contentLength
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kingcuptide.coordination.connection.Header
import kingcuptide.coordination.connection.RequestHead
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.DEPTH_HEADER
import kingcuptide.coordination.request.Outcome
import kingcuptide.coordination.request.nextDepth
import kingcuptide.daemon.process.TargetSettings
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import java.net.ConnectException
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration

/** Sends admitted requests to the target on this host and checks its health. */
@OptIn(InternalAPI::class)
class TargetClient(
    private val settings: TargetSettings,
) : AutoCloseable {
    private val client =
        HttpClient(Java) {
            expectSuccess = false
            followRedirects = false
            engine { protocolVersion = java.net.http.HttpClient.Version.HTTP_1_1 }
        }

    /**
     * Sends one request and streams the response to [sink].
     *
     * Returns null once the complete response was streamed, otherwise the failure.
     */
    suspend fun run(
        head: RequestHead,
        body: ReceiveChannel<ByteArray>?,
        remaining: Duration,
        sink: ResponseSink,
    ): TargetFailure? {
        val progress = TargetProgress()
        return try {
            val request =
                client.prepareRequest {
                    method = HttpMethod.parse(head.method)
                    url("http://${settings.ip}:${settings.port}${head.pathAndQuery}")
                    setAttributes { put(ResponseAdapterAttributeKey, HeadObserver(progress)) }
                    copyHeaders(head, remaining)
                    if (body != null) setBody(StreamedBody(head, body, progress))
                }
            request.execute { response -> forwardResponse(response, head.method, sink) }
        } catch (exception: CancellationException) {
            currentCoroutineContext().ensureActive()
            progress.failure(exception)
        } catch (exception: Exception) {
            progress.failure(exception)
        }
    }

    /** Returns whether the health path responds with a status below 400 within [timeout]. */
    suspend fun isHealthy(timeout: Duration): Boolean =
        try {
            val response =
                withTimeoutOrNull(timeout) {
                    client.request("http://${settings.ip}:${settings.port}${settings.healthPath}")
                }
            response != null && response.status.value < FIRST_ERROR_STATUS
        } catch (exception: CancellationException) {
            currentCoroutineContext().ensureActive()
            false
        } catch (_: Exception) {
            false
        }

    override fun close() = client.close()

    private fun io.ktor.client.request.HttpRequestBuilder.copyHeaders(head: RequestHead, remaining: Duration) {
        for (header in head.headers) {
            if (header.name.lowercase() !in replacedHeaders) header(header.name, header.value)
        }
        header(
            DEPTH_HEADER,
            nextDepth(
                head.headers.firstOrNull {
                    it.name.equals(DEPTH_HEADER, ignoreCase = true)
                }?.value,
            ),
        )
        header(KingcuptideHeaders.TIMEOUT_MS, remaining.inWholeMilliseconds)
    }

    private suspend fun forwardResponse(
        response: HttpResponse,
        method: String,
        sink: ResponseSink,
    ): TargetFailure? {
        sink.head(response.status.value, response.headers.endToEnd())
        val expected = response.contentLength().takeUnless { method == HttpMethod.Head.value }
        val received = forwardBody(response.bodyAsChannel(), sink)
        if (expected != null && received != expected) return TargetFailure(ResultCode.ANSWER_TRUNCATED, Outcome.UNKNOWN)
        sink.end()
        return null
    }

    private suspend fun forwardBody(input: ByteReadChannel, sink: ResponseSink): Long {
        val buffer = ByteArray(MAX_CHUNK_BYTES)
        var received = 0L
        while (true) {
            val count = input.readAvailable(buffer)
            if (count < 0) break
            if (count == 0) continue
            received += count
            sink.body(buffer.copyOf(count))
        }
        input.closedCause?.let { throw it }
        return received
    }

    private companion object {
        const val MAX_CHUNK_BYTES = 16 * 1024
        const val FIRST_ERROR_STATUS = 400
        val replacedHeaders = setOf(HttpHeaders.ContentLength.lowercase(), DEPTH_HEADER.lowercase())
    }
}

/** Receives the target's response in chunks; each call may suspend until there is room. */
interface ResponseSink {
    suspend fun head(status: Int, headers: List<Header>)

    suspend fun body(bytes: ByteArray)

    suspend fun end()
}

/** Reason why the target sent no complete response. */
data class TargetFailure(
    val code: ResultCode,
    val outcome: Outcome,
)

/**
 * Notes the head of a response when it arrives. The engine fails the call with what ends the body, also if it has not
 * yet delivered the head, so that a response which breaks off right after its head would pass for none at all.
 */
@OptIn(InternalAPI::class)
private class HeadObserver(
    private val progress: TargetProgress,
) : ResponseAdapter {
    override fun adapt(
        data: HttpRequestData,
        status: HttpStatusCode,
        headers: Headers,
        responseBody: ByteReadChannel,
        outgoingContent: OutgoingContent,
        callContext: CoroutineContext,
    ): Any? {
        progress.responseStarted = true
        return null
    }
}

private class TargetProgress {
    val bodyStarted = AtomicBoolean()

    @Volatile
    var responseStarted = false

    /** A refused connection is the only failure that certainly sent no byte to the target. */
    fun failure(exception: Exception): TargetFailure =
        when {
            causesOf(exception).any { it is ConnectException } && !bodyStarted.get() -> TargetFailure(
                ResultCode.TARGET_DOWN,
                Outcome.NOT_RUN,
            )
            responseStarted -> TargetFailure(ResultCode.ANSWER_TRUNCATED, Outcome.UNKNOWN)
            else -> TargetFailure(ResultCode.TARGET_DIED, Outcome.UNKNOWN)
        }
}

private fun causesOf(exception: Exception): Sequence<Throwable> = generateSequence(exception as Throwable) {
    it.cause
}.take(MAX_CAUSES)

private const val MAX_CAUSES = 8

private class StreamedBody(
    head: RequestHead,
    private val body: ReceiveChannel<ByteArray>,
    private val progress: TargetProgress,
) : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long? =
        head.headers.firstOrNull { it.name.equals(HttpHeaders.ContentLength, ignoreCase = true) }?.value?.toLongOrNull()

    override suspend fun writeTo(channel: ByteWriteChannel) {
        progress.bodyStarted.set(true)
        for (chunk in body) channel.writeFully(chunk)
    }
}

/** Writes response chunks to a bounded channel. */
internal class ChannelResponseSink(
    private val onHead: suspend (Int, List<Header>) -> Unit,
    private val chunks: SendChannel<ByteArray>,
) : ResponseSink {
    override suspend fun head(status: Int, headers: List<Header>) = onHead(status, headers)

    override suspend fun body(bytes: ByteArray) = chunks.send(bytes)

    override suspend fun end() {
        chunks.close()
    }
}
