package kingcuptide.daemon.process

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import kingcuptide.daemon.request.EntryHandler

/** The HTTP server of the daemon, with one port for callers and one for operators. */
class HttpServers(
    private val settings: DaemonSettings,
    private val entry: EntryHandler,
    private val admin: AdminHandler,
) {
    private val server: EmbeddedServer<*, *> =
        embeddedServer(
            CIO,
            configure = {
                connector {
                    host = settings.ip
                    port = settings.httpPort
                }
                connector {
                    host = settings.ip
                    port = settings.adminPort
                }
            },
        ) {
            intercept(ApplicationCallPipeline.Call) { handle(call) }
        }

    fun start() {
        server.start(wait = false)
    }

    fun stop() = server.stop(STOP_GRACE_MS, STOP_TIMEOUT_MS)

    private suspend fun handle(call: ApplicationCall) {
        if (call.request.local.localPort == settings.adminPort) admin.handle(call) else entry.handle(call)
    }

    private companion object {
        const val STOP_GRACE_MS = 300L
        const val STOP_TIMEOUT_MS = 1_000L
    }
}
