package kingcuptide.forwarder.request

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kingcuptide.coordination.process.systemClock
import kingcuptide.forwarder.connection.HttpCall
import kingcuptide.forwarder.connection.HttpResult
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.CapturedLog
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** Guards against a response to another request that the daemon skips, or that no call waits for, without a line. */
internal class SkippedResponseLogTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val log = CapturedLog()
    private val metrics = DaemonMetrics()
    private val scripts = ConcurrentLinkedQueue<String>()
    private val server =
        SocketServer { socket ->
            val reader = socket.reader()
            while (readHead(reader) != null) socket.send(scripts.remove())
        }
    private val client =
        TargetClient(loop, systemClock(), server.address, SkippedResponseLog(NAMES, metrics, log.eventLog))

    @AfterEach
    fun stop() {
        server.close()
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    /** The target sends [response] when it has received the request [id]. */
    private fun call(id: String, response: String): HttpResult {
        scripts += response
        return runBlocking {
            withContext(loop.asCoroutineDispatcher()) {
                client.call(HttpCall("GET", "/", listOf("Host" to "h", "Id" to id)), idempotent = true) {
                    it.first("Id") in setOf(null, id)
                }
            }
        }
    }

    private fun response(id: String?, status: Int = 200, body: String = "") =
        "HTTP/1.1 $status X\r\n${id?.let { "Id: $it\r\n" }.orEmpty()}Content-Length: ${body.length}\r\n\r\n$body"

    /** Runs until the event loop has read what the target has sent. */
    private fun awaitLine(): List<String> {
        val end = System.nanoTime() + MAX_WAIT_NANOS
        while (log.lines.isEmpty() && System.nanoTime() < end) Thread.onSpinWait()
        return log.lines
    }

    @Test
    fun `Given a response to another request, when it is skipped, then one line has both ids, status and length`() {
        call("2", response("1", 503, "12345") + response("2"))
        expectThat(log.lines).containsExactly(
            "event=response_skipped request=2 arrived=1 reason=other_call status=503 body_bytes=5 complete=true " +
                "same_read=false",
        )
        expectThat(metrics.scrape()).contains("kingcuptide_skipped_responses_total{reason=\"other_call\"} 1.0")
    }

    @Test
    fun `Given a second response in one segment, when no call waits, then a line names the last request`() {
        call("1", response("1") + response("1", 200, "123"))
        expectThat(awaitLine()).containsExactly(
            "event=response_skipped request=1 arrived=1 reason=no_call status=200 body_bytes=3 complete=false " +
                "same_read=true",
        )
    }

    @Test
    fun `Given bytes that are no response, when no call waits, then a line has neither id nor status`() {
        call("1", response("1") + "no response\r\n\r\n")
        expectThat(awaitLine()).containsExactly(
            "event=response_skipped request=1 arrived=null reason=no_call status=null body_bytes=null " +
                "complete=false same_read=true",
        )
    }

    @Test
    fun `Given a response to another request that is cut off, when its connection ends, then a line says so`() {
        scripts += "HTTP/1.1 200 X\r\nId: 1\r\nContent-Length: 9\r\n\r\n1234"
        val cutting = SocketServer { socket ->
            readHead(socket.reader())
            socket.send(scripts.remove())
            socket.close()
        }
        val cutClient =
            TargetClient(loop, systemClock(), cutting.address, SkippedResponseLog(NAMES, metrics, log.eventLog))
        runBlocking {
            withContext(loop.asCoroutineDispatcher()) {
                cutClient.call(HttpCall("GET", "/", listOf("Id" to "2")), idempotent = true) { it.first("Id") == "2" }
            }
        }
        cutting.close()
        expectThat(log.lines).containsExactly(
            "event=response_skipped request=2 arrived=1 reason=other_call status=200 body_bytes=4 complete=false " +
                "same_read=false",
        )
    }

    @Test
    fun `Given the responses of two requests, when each gets its own, then there is no line`() {
        call("1", response("1"))
        call("2", response("2"))
        expectThat(log.lines).isEmpty()
    }

    private companion object {
        val NAMES =
            HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
        const val MAX_WAIT_NANOS = 5_000_000_000L
    }
}
