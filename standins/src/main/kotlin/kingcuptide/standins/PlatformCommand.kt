package kingcuptide.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing

/** Serves documents and host lists as the platform does; the same port has the control endpoints for tests. */
class PlatformCommand : CliktCommand(name = "platform") {
    private val ip by option("--ip").default("127.0.0.1")
    private val port by option("--port").int().required()
    private val document by option("--document").file(mustExist = true).required()
    private val hosts by option("--hosts").file(mustExist = true).required()

    override fun run() {
        val state = PlatformState(document.readText(), hosts.readText())
        embeddedServer(CIO, port = port, host = ip) { platformRoutes(state) }.start(wait = true)
    }
}

/** Routes of the stand-in: its read-only interface under /v1, and its control endpoints under /control. */
fun Application.platformRoutes(state: PlatformState) {
    routing {
        route("/v1") {
            get("/document") { call.sendNewest(state) { after, waitMs -> state.document(after, waitMs) } }
            get("/hosts") { call.sendNewest(state) { after, waitMs -> state.hosts(after, waitMs) } }
        }
        route("/control") {
            post("/document") {
                state.publishDocument(call.receiveText())
                call.respond(HttpStatusCode.NoContent)
            }
            post("/hosts") {
                state.publishHosts(call.receiveText())
                call.respond(HttpStatusCode.NoContent)
            }
            post("/mode") {
                state.switchTo(PlatformMode.valueOf(call.receiveText().trim().uppercase()))
                call.respond(HttpStatusCode.NoContent)
            }
            get("/calls") { call.respondText(state.calls.get().toString()) }
        }
    }
}

private suspend fun ApplicationCall.sendNewest(state: PlatformState, newest: suspend (Long?, Long) -> PlatformValue?) {
    state.calls.incrementAndGet()
    if (state.mode() == PlatformMode.DOWN) {
        respond(HttpStatusCode.ServiceUnavailable)
        return
    }
    val after = request.queryParameters["after"]?.toLongOrNull()
    val waitMs = request.queryParameters["wait_ms"]?.toLongOrNull() ?: 0
    val value = newest(after, waitMs)
    when {
        state.mode() == PlatformMode.DOWN -> respond(HttpStatusCode.ServiceUnavailable)
        value == null -> respond(HttpStatusCode.NotModified)
        value.text.length > MAX_VALUE_BYTES -> respond(HttpStatusCode.InternalServerError)
        else -> respondText(value.text, ContentType.Application.Json)
    }
}

private const val MAX_VALUE_BYTES = 1_048_576
