package kingcuptide.daemon.process

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.path
import io.ktor.server.response.respondText
import kingcuptide.coordination.process.ExplainReport
import kingcuptide.coordination.process.StatusReport
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.forwarder.process.DaemonMetrics
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** Serves the read-only admin endpoints for operators and the host's supervisor. */
class AdminHandler(
    private val settings: DaemonSettings,
    private val decisions: ControlDecisions,
    private val loop: ControlLoop,
    private val explainer: Explainer,
    private val metrics: DaemonMetrics,
    private val isReady: () -> Boolean,
) {
    suspend fun handle(call: ApplicationCall) {
        when (call.request.path()) {
            "/health" -> call.respondText("ok\n")
            "/ready" -> respondReady(call)
            "/metrics" -> call.respondText(metrics.scrape(), ContentType.Text.Plain)
            "/v1/status" -> respondStatus(call)
            "/v1/explain" -> respondExplain(call)
            "/v1/rejected" -> respondRejected(call)
            else -> call.respondText("unknown path\n", status = HttpStatusCode.NotFound)
        }
    }

    private suspend fun respondReady(call: ApplicationCall) {
        val version = decisions.versions.document.current?.version?.number
        val status = if (isReady()) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText("ready=${isReady()} version=$version host=${settings.host}\n", status = status)
    }

    private suspend fun respondStatus(call: ApplicationCall) {
        val summary =
            loop.summary() ?: return call.respondText("too many queries\n", status = HttpStatusCode.ServiceUnavailable)
        val confirmedAge = decisions.versions.confirmedAge(ResourceKind.DOCUMENT)
        respondJson(
            call,
            StatusReport.serializer(),
            summary.toReport(settings.host, decisions.membership, confirmedAge),
        )
    }

    private suspend fun respondExplain(call: ApplicationCall) {
        val query = call.request.queryParameters
        val method = query["method"]
        val path = query["path"]
        if (method == null || path == null) {
            return call.respondText("method and path are required\n", status = HttpStatusCode.BadRequest)
        }
        respondJson(
            call,
            ExplainReport.serializer(),
            explainer.explain(method, path, query["workspace"]?.let(::WorkspaceId)),
        )
    }

    private suspend fun respondRejected(call: ApplicationCall) {
        val reports = decisions.versions.document.rejected.map { it.toReport() }
        respondJson(call, ListSerializer(RejectedReport.serializer()), reports)
    }

    private suspend fun <T> respondJson(call: ApplicationCall, serializer: SerializationStrategy<T>, value: T) =
        call.respondText(json.encodeToString(serializer, value), ContentType.Application.Json)

    private companion object {
        val json = Json { encodeDefaults = true }
    }
}
