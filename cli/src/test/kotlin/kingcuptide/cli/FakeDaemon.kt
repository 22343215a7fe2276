package kingcuptide.cli

import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.uri
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.LaggardReport
import kingcuptide.coordination.process.StatusReport
import kingcuptide.coordination.process.VersionCountReport
import kotlinx.coroutines.runBlocking
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList

/** Replies to each request with the next of [replies], and repeats the last one. */
internal class FakeDaemon(
    vararg replies: Reply,
) : AutoCloseable {
    private val remaining = ConcurrentLinkedQueue(replies.toList())

    /** URIs of the requests in the order of arrival. */
    val requests: MutableList<String> = CopyOnWriteArrayList()

    private val server: EmbeddedServer<*, *> =
        embeddedServer(CIO, host = "127.0.0.1", port = 0) {
            routing {
                get("/{...}") {
                    requests += call.request.uri
                    val reply = if (remaining.size > 1) remaining.poll() else remaining.peek()
                    call.respondText(reply.body, status = reply.status)
                }
            }
        }.start()

    val url = "http://127.0.0.1:${runBlocking { server.engine.resolvedConnectors().single().port }}"

    override fun close() {
        server.stop(0, 0)
    }
}

/** One reply of the fake daemon. */
internal data class Reply(
    val body: String,
    val status: HttpStatusCode = HttpStatusCode.OK,
)

/** A status in which [newer] of three hosts have version 8 and the others version 7. */
internal fun sampleStatus(newer: Int, unreachable: Int = 0): StatusReport {
    val older = 3 - newer - unreachable
    val domain = FailureDomainId("n1")
    return StatusReport(
        answeredBy = HostId("a"),
        versionInForce = 8,
        hostsTotal = 3,
        hostsInForce = newer,
        counts = listOf(VersionCountReport(domain, 8, newer), VersionCountReport(domain, 7, older)),
        laggards = List(older) { LaggardReport(HostId("late-$it"), domain, 7, 1_200) },
        laggardsTotal = older,
        unreachable = List(unreachable) { HostId("gone-$it") },
        unreachableTotal = unreachable,
        confirmedAgeMs = 40,
        tookMs = 5,
    )
}

internal fun StatusReport.toReply(): Reply = Reply(OUTPUT_JSON.encodeToString(StatusReport.serializer(), this))
