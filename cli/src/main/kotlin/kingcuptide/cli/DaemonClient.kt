package kingcuptide.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import kingcuptide.coordination.process.ExplainReport
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.StatusReport
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.seconds

/** Why a query to a daemon failed. */
internal data class DaemonFailure(
    val code: ResultCode,
    val reason: String,
)

/** Client of the admin endpoint of the daemon at [baseUrl]. */
internal class DaemonClient(
    private val baseUrl: String,
) : AutoCloseable {
    private val http =
        HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout) {
                connectTimeoutMillis = CONNECT_TIMEOUT.inWholeMilliseconds
                requestTimeoutMillis = REQUEST_TIMEOUT.inWholeMilliseconds
            }
        }

    /** Queries which version is in force on which hosts. */
    suspend fun status(): Result<StatusReport, DaemonFailure> =
        query("/v1/status", emptyMap()).flatMap { decode(it, StatusReport.serializer()) }

    /** Queries which hosts could run a request. */
    suspend fun explain(method: String, path: String, workspace: String?): Result<ExplainReport, DaemonFailure> {
        val parameters = mapOf("method" to method, "path" to path, "workspace" to workspace)
        return query("/v1/explain", parameters).flatMap { decode(it, ExplainReport.serializer()) }
    }

    override fun close() = http.close()

    private suspend fun query(path: String, parameters: Map<String, String?>): Result<String, DaemonFailure> =
        try {
            val response =
                http.get(baseUrl.trimEnd('/') + path) {
                    parameters.forEach { (name, value) -> value?.let { parameter(name, it) } }
                }
            val body = response.bodyAsText()
            when (response.status) {
                HttpStatusCode.OK -> Ok(body)
                HttpStatusCode.ServiceUnavailable -> Err(DaemonFailure(ResultCode.STATUS_QUERIES_FULL, body.trim()))
                else -> unreadable("unexpected HTTP status ${response.status.value}")
            }
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            Err(DaemonFailure(ResultCode.DAEMON_UNREACHABLE, exception.message ?: exception.javaClass.simpleName))
        }

    private fun <T> decode(text: String, serializer: KSerializer<T>): Result<T, DaemonFailure> =
        try {
            Ok(REPORT_JSON.decodeFromString(serializer, text))
        } catch (_: SerializationException) {
            unreadable("the response is not a report that this release of the command can read")
        }

    private fun unreadable(reason: String): Result<Nothing, DaemonFailure> =
        Err(DaemonFailure(ResultCode.DAEMON_ANSWER_UNREADABLE, reason))

    private companion object {
        val CONNECT_TIMEOUT = 2.seconds
        val REQUEST_TIMEOUT = 10.seconds

        /** Ignores unknown keys, since a daemon of a later release may report more fields. */
        val REPORT_JSON = Json { ignoreUnknownKeys = true }
    }
}
