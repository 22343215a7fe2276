package kingcuptide.daemon.request

import io.ktor.client.HttpClient
import io.ktor.client.engine.java.Java
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.OutgoingContent
import io.ktor.http.contentLength
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
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
import kotlin.time.Duration

/** Sends admitted requests to the target on this host, and asks after its health. */
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
     * Runs one request and passes the answer on to [answer] as it comes.
     *
     * Returns null when the whole answer was passed on, and otherwise why not.
     */
    suspend fun run(
        head: RequestHead,
        body: ReceiveChannel<ByteArray>?,
        timeLeft: Duration,
        answer: AnswerSink,
    ): TargetFailure? {
        val progress = TargetProgress()
        return try {
            val request =
                client.prepareRequest {
                    method = HttpMethod.parse(head.method)
                    url("http://${settings.ip}:${settings.port}${head.pathAndQuery}")
                    copyHeaders(head, timeLeft)
                    if (body != null) setBody(StreamedBody(head, body, progress))
                }
            request.execute { response -> pass(response, head.method, answer, progress) }
        } catch (exception: CancellationException) {
            currentCoroutineContext().ensureActive()
            progress.failure(exception)
        } catch (exception: Exception) {
            progress.failure(exception)
        }
    }

    /** Returns whether the target answers its health path within [timeout]. */
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

    private fun io.ktor.client.request.HttpRequestBuilder.copyHeaders(head: RequestHead, timeLeft: Duration) {
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
        header(KingcuptideHeaders.TIMEOUT_MS, timeLeft.inWholeMilliseconds)
    }

    private suspend fun pass(
        response: HttpResponse,
        method: String,
        answer: AnswerSink,
        progress: TargetProgress,
    ): TargetFailure? {
        progress.answering = true
        answer.head(response.status.value, response.headers.endToEnd())
        val expected = response.contentLength().takeUnless { method == HttpMethod.Head.value }
        val received = passBody(response.bodyAsChannel(), answer)
        if (expected != null && received != expected) return TargetFailure(ResultCode.ANSWER_TRUNCATED, Outcome.UNKNOWN)
        answer.end()
        return null
    }

    private suspend fun passBody(input: ByteReadChannel, answer: AnswerSink): Long {
        val buffer = ByteArray(MAX_PIECE_BYTES)
        var received = 0L
        while (true) {
            val count = input.readAvailable(buffer)
            if (count < 0) break
            if (count == 0) continue
            received += count
            answer.body(buffer.copyOf(count))
        }
        input.closedCause?.let { throw it }
        return received
    }

    private companion object {
        const val MAX_PIECE_BYTES = 16 * 1024
        const val FIRST_ERROR_STATUS = 400
        val replacedHeaders = setOf(HttpHeaders.ContentLength.lowercase(), DEPTH_HEADER.lowercase())
    }
}

/** Takes the target's answer piece by piece; each call may wait until there is room. */
interface AnswerSink {
    suspend fun head(status: Int, headers: List<Header>)

    suspend fun body(bytes: ByteArray)

    suspend fun end()
}

/** Why the target gave no whole answer. */
data class TargetFailure(
    val code: ResultCode,
    val outcome: Outcome,
)

private class TargetProgress {
    val bodyStarted = AtomicBoolean()

    @Volatile
    var answering = false

    /** A refused connection is the only failure at which no byte reached the target. */
    fun failure(exception: Exception): TargetFailure =
        when {
            causesOf(exception).any { it is ConnectException } && !bodyStarted.get() -> TargetFailure(
                ResultCode.TARGET_DOWN,
                Outcome.NOT_RUN,
            )
            answering -> TargetFailure(ResultCode.ANSWER_TRUNCATED, Outcome.UNKNOWN)
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
        for (piece in body) channel.writeFully(piece)
    }
}

/** Sends one piece of an answer into a bounded channel. */
internal class ChannelAnswerSink(
    private val onHead: suspend (Int, List<Header>) -> Unit,
    private val pieces: SendChannel<ByteArray>,
) : AnswerSink {
    override suspend fun head(status: Int, headers: List<Header>) = onHead(status, headers)

    override suspend fun body(bytes: ByteArray) = pieces.send(bytes)

    override suspend fun end() {
        pieces.close()
    }
}
