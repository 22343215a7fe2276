package kingcuptide.daemon.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.readRemaining
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.ResourceKind
import kotlinx.coroutines.CancellationException
import kotlinx.io.readByteArray
import kotlin.time.Duration

/** Reads and watches the platform over HTTP. */
class HttpPlatform(
    private val client: HttpClient,
    private val baseUrl: String,
    private val callTimeout: Duration,
) : Platform {
    override suspend fun read(kind: ResourceKind): Result<String, ResultCode> =
        call(kind, after = null, wait = Duration.ZERO).map { it.orEmpty() }

    override suspend fun watch(kind: ResourceKind, after: Long, wait: Duration): Result<String?, ResultCode> =
        call(kind, after, wait)

    private suspend fun call(kind: ResourceKind, after: Long?, wait: Duration): Result<String?, ResultCode> =
        try {
            val response =
                client.get("$baseUrl/v1/${pathOf(kind)}") {
                    after?.let { parameter("after", it) }
                    after?.let { parameter("wait_ms", wait.inWholeMilliseconds) }
                    timeout { requestTimeoutMillis = (wait + callTimeout).inWholeMilliseconds }
                }
            readBody(response)
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            Err(ResultCode.SOURCE_UNAVAILABLE)
        }

    private suspend fun readBody(response: HttpResponse): Result<String?, ResultCode> {
        if (response.status == HttpStatusCode.NotModified) return Ok(null)
        if (response.status != HttpStatusCode.OK) return Err(ResultCode.SOURCE_UNAVAILABLE)
        val bytes = response.bodyAsChannel().readRemaining(MAX_VALUE_BYTES + 1).readByteArray()
        if (bytes.size > MAX_VALUE_BYTES) return Err(ResultCode.DOCUMENT_TOO_LARGE)
        return Ok(bytes.decodeToString())
    }

    private fun pathOf(kind: ResourceKind): String =
        when (kind) {
            ResourceKind.DOCUMENT -> "document"
            ResourceKind.HOST_LIST -> "hosts"
        }

    private companion object {
        const val MAX_VALUE_BYTES = 1_048_576L
    }
}
