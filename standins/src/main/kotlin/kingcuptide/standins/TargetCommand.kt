package kingcuptide.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.discard
import io.ktor.utils.io.writeFully
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds

/** Serves any path as a target of the fleet does, and counts the runs of each request. */
class TargetCommand : CliktCommand(name = "target") {
    private val ip by option("--ip").default("127.0.0.1")
    private val port by option("--port").int().required()
    private val name by option("--name").required()
    private val slots by option("--slots").int().default(10)
    private val serviceMs by option("--service-ms").long().default(2)
    private val coldSlots by option("--cold-slots").int().default(2)
    private val coldStartMs by option("--cold-start-ms").long().default(0)

    override fun run() {
        val shape = TargetShape(name, slots, serviceMs.milliseconds, coldSlots, coldStartMs.milliseconds)
        embeddedServer(CIO, port = port, host = ip) { targetRoutes(TargetState(shape)) }.start(wait = true)
    }
}

/**
 * Routes of the target. Header `Idempotency-Key` or `Request-Id` identifies the request, `Slow-Ms` delays its run,
 * `Answer-Bytes` sets the length of the response body, and `Crash` ends the process before it responds.
 */
fun Application.targetRoutes(state: TargetState) {
    routing {
        get("/health") { call.respondText("ok") }
        get("/load") { call.respondText(state.report()) }
        route("/control") {
            post("/cold") {
                state.turnCold()
                call.respond(HttpStatusCode.NoContent)
            }
            get("/runs/{id}") { call.respondText(state.runsOf(call.parameters["id"].orEmpty()).toString()) }
            get("/report") { call.respondText(state.report()) }
        }
        route("{path...}") {
            handle {
                val headers = call.request.headers
                call.receiveChannel().discard()
                if (headers["Crash"] != null) exitProcess(CRASH_EXIT_STATUS)
                val requestId = headers["Idempotency-Key"] ?: headers["Request-Id"]
                state.run(requestId, (headers["Slow-Ms"]?.toLongOrNull() ?: 0).milliseconds)
                call.response.header("Served-By", state.shape.name)
                val bodyBytes = headers["Answer-Bytes"]?.toLongOrNull()
                if (bodyBytes == null) {
                    call.respondText("${state.shape.name} ${call.request.httpMethod.value} ${call.request.uri}\n")
                } else {
                    call.response.header(HttpHeaders.CacheControl, "no-store")
                    call.respondBytesWriter { repeat((bodyBytes / BODY_BLOCK.size).toInt()) { writeFully(BODY_BLOCK) } }
                }
            }
        }
    }
}

private val BODY_BLOCK = ByteArray(8_192) { (it % 251).toByte() }
private const val CRASH_EXIT_STATUS = 70
