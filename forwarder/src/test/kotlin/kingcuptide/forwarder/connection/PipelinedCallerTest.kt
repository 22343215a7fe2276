package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import kingcuptide.coordination.version.CallerLimits
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.process.StartQueue
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against requests of one connection that wait without need, run twice, or get the response of another. */
internal class PipelinedCallerTest {
    private val clock = ManualClock()
    private val limits = CallerLimits(4_096, 500_000, headTimeout = 3.seconds, idleTimeout = 15.seconds)
    private val served = ArrayList<String>()
    private val receivedAt = HashMap<String, Duration>()
    private val cancelled = ArrayList<String>()
    private val pending = HashMap<String, CompletableDeferred<BufferedResponse>>()
    private val buffers = BufferLimit(1_000_000)
    private val counts = PipelineCounts()
    private val connection =
        CallerConnection(
            CoroutineScope(Dispatchers.Unconfined),
            clock,
            limits,
            buffers,
            ::serve,
            isIdempotent = { it.path.startsWith("/safe") },
            refuseAtStop = { BufferedResponse(503, listOf("X" to "${it.path}-refused"), NO_BYTES) },
            counts = counts,
            starts = StartQueue(clock) { it() },
        ) { }
    private val channel =
        EmbeddedChannel(
            connection.activityHandler,
            StrictRequestDecoder(limits.maxHeadBytes),
            HttpResponseEncoder(),
            connection,
        )

    private suspend fun serve(request: CallerRequest): BufferedResponse {
        served += request.path
        receivedAt[request.path] = request.receivedAt
        try {
            return pending.getOrPut(request.path) { CompletableDeferred() }.await()
        } catch (exception: CancellationException) {
            cancelled += request.path
            throw exception
        }
    }

    private fun send(vararg paths: String, headers: String = "", body: String = "") {
        val length = if (body.isEmpty()) "" else "Content-Length: ${body.length}\r\n"
        paths.forEach { sendText("GET $it HTTP/1.1\r\nHost: h\r\n$headers$length\r\n$body") }
    }

    private fun sendText(text: String) {
        channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))
    }

    private fun finish(path: String, body: ByteArray = NO_BYTES, vararg headers: Pair<String, String>) {
        pending.getValue(path).complete(BufferedResponse(200, listOf("X" to path, *headers), body))
    }

    private fun received(): String = buildString {
        while (true) append((channel.readOutbound<ByteBuf>() ?: break).toString(Charsets.ISO_8859_1))
    }

    /** Returns the status, or the path of the request, of each response, with a mark at one that announces the close. */
    private fun responses(): List<String> = received().split("HTTP/1.1 ").drop(1).map { response ->
        val name = Regex("X: (\\S+)").find(response)?.groupValues?.get(1) ?: response.substringBefore(' ')
        if ("connection: close" in response) "$name closes" else name
    }

    @Test
    fun `Given safe requests, when a later one ends first, then its response is held until its turn`() {
        send("/safe1", "/safe2", "/safe3")
        expectThat(served).containsExactly("/safe1", "/safe2", "/safe3")
        finish("/safe3", ByteArray(100))
        finish("/safe2")
        expectThat(received()).isEmpty()
        expectThat(connection.heldBytes > 100).isTrue()
        finish("/safe1")
        expectThat(responses()).containsExactly("/safe1", "/safe2", "/safe3")
        expectThat(listOf(connection.heldBytes, counts.inTurn, counts.early)).containsExactly(0, 1, 2)
    }

    @Test
    fun `Given an unsafe request, when others are before it, then it and those behind it wait for their responses`() {
        send("/safe1", "/safe2", "/unsafe3", "/safe4")
        finish("/safe2")
        expectThat(served).containsExactly("/safe1", "/safe2")
        clock.advance(2.seconds)
        finish("/safe1")
        expectThat(served.drop(2)).containsExactly("/unsafe3", "/safe4")
        expectThat(receivedAt["/unsafe3"]).isEqualTo(receivedAt["/safe1"])
    }

    @Test
    fun `Given a request that asks for close, when others are behind it, then they never start`() {
        send("/safe1")
        send("/safe2", headers = "Connection: close\r\n")
        send("/safe3", "/unsafe4")
        finish("/safe2")
        finish("/safe1")
        expectThat(responses()).containsExactly("/safe1", "/safe2 closes")
        expectThat(served).containsExactly("/safe1", "/safe2")
        expectThat(channel.isOpen).isFalse()
    }

    @Test
    fun `Given a response that asks for close, when requests behind it run, then the last of them closes`() {
        send("/safe1", "/safe2", "/unsafe3")
        finish("/safe1", NO_BYTES, "Connection" to "close")
        finish("/safe2")
        expectThat(responses()).containsExactly("/safe1", "/safe2 closes")
        expectThat(served).containsExactly("/safe1", "/safe2")
    }

    @Test
    fun `Given a planned stop, when requests are in progress, then all are answered and the last closes`() {
        send("/safe1", "/safe2", "/unsafe3", "/safe4", "/safe5")
        connection.closesAfterResponse = true
        for (path in listOf("/safe2", "/safe1", "/unsafe3", "/safe4", "/safe5")) {
            expectThat(served).contains(path)
            finish(path)
        }
        expectThat(responses()).containsExactly("/safe1", "/safe2", "/unsafe3", "/safe4", "/safe5 closes")
        expectThat(counts.early).isEqualTo(1)
    }

    /** Guards against requests that were read and whose connection ends without a response to them. */
    @Test
    fun `Given a stop whose time is over, when requests run, then they get 502 and those behind are refused`() {
        send("/safe1", "/safe2", "/safe3", "/unsafe4", "/unsafe5")
        connection.closesAfterResponse = true
        finish("/safe2")
        connection.endRequests()
        expectThat(responses())
            .containsExactly("502", "/safe2", "502", "/unsafe4-refused", "/unsafe5-refused closes")
        expectThat(cancelled).containsExactlyInAnyOrder("/safe1", "/safe3")
        expectThat(served).hasSize(3)
        expectThat(channel.isOpen).isFalse()
    }

    /** Guards against requests that start although nothing can wait for their responses any more. */
    @Test
    fun `Given a stop whose time is over, when requests are read after that, then they are refused and free memory`() {
        sendText("GET /safe1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nxx")
        connection.closesAfterResponse = true
        connection.endRequests()
        sendText("xx")
        expectThat(responses()).containsExactly("/safe1-refused closes")
        expectThat(served).isEmpty()
        expectThat(buffers.hasRoomFor(1_000_000)).isTrue()
    }

    /** Guards against an exit while responses are still in the process. */
    @Test
    fun `Given a caller that does not read, when its response is ready, then the connection is not idle`() {
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false)
        send("/safe1")
        finish("/safe1")
        expectThat(connection.isServing).isFalse()
        expectThat(connection.isIdle).isFalse()
    }

    @Test
    fun `Given running requests, when their caller disconnects, then all are cancelled and their memory is free`() {
        send("/safe1", "/safe2", "/unsafe3", body = "x".repeat(1_000))
        expectThat(buffers.hasRoomFor(998_000)).isFalse()
        channel.close()
        expectThat(cancelled).containsExactlyInAnyOrder("/safe1", "/safe2")
        expectThat(served).hasSize(2)
        expectThat(buffers.hasRoomFor(1_000_000)).isTrue()
    }

    @Test
    fun `Given more than 16 requests or 256 KiB, when they arrive, then reading stops until others have ended`() {
        val paths = List(20) { "/safe$it" }
        send(*paths.toTypedArray())
        expectThat(served).hasSize(16)
        expectThat(channel.config().isAutoRead).isFalse()
        paths.forEach(::finish)
        expectThat(responses()).isEqualTo(paths)
        send("/safe-a", "/safe-b", "/safe-c", body = "x".repeat(150_000))
        expectThat(served.drop(20)).containsExactly("/safe-a")
        expectThat(channel.config().isAutoRead).isFalse()
        listOf("/safe-a", "/safe-b", "/safe-c").forEach(::finish)
        expectThat(responses()).containsExactly("/safe-a", "/safe-b", "/safe-c")
        expectThat(channel.config().isAutoRead).isTrue()
    }

    @Test
    fun `Given 1 MiB of held responses, when more requests arrive, then none starts until they are written`() {
        send("/safe1", "/safe2")
        finish("/safe2", ByteArray(1024 * 1024))
        send("/safe3")
        expectThat(served).hasSize(2)
        finish("/safe1")
        expectThat(served).hasSize(3)
    }

    @Test
    fun `Given bytes that are no request, when requests before them run, then the refusal is last and closes`() {
        send("/safe1", "/safe2")
        sendText("nonsense\r\n\r\nGET /safe3 HTTP/1.1\r\nHost: h\r\n\r\n")
        expectThat(received()).isEmpty()
        finish("/safe2")
        finish("/safe1")
        expectThat(responses()).containsExactly("/safe1", "/safe2", "400 closes")
        expectThat(served).hasSize(2)
    }

    @Test
    fun `Given an internal error of one request, when others run, then it gets 502 in its place`() {
        send("/safe1", "/safe2", "/safe3")
        pending.getValue("/safe2").completeExceptionally(IllegalStateException("test"))
        finish("/safe3")
        finish("/safe1")
        expectThat(responses()).containsExactly("/safe1", "502", "/safe3")
    }

    @Test
    fun `Given a request that expects 100, when others run, then the interim response waits for theirs`() {
        send("/safe1")
        sendText("POST /safe2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
        expectThat(received()).isEmpty()
        finish("/safe1")
        expectThat(responses()).containsExactly("/safe1", "100")
    }

    @Test
    fun `Given a caller that does not read, when its responses wait, then the connection ends after the idle limit`() {
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false)
        send("/safe1", "/safe2")
        listOf("/safe1", "/safe2").forEach(::finish)
        clock.advance(16.seconds)
        connection.checkTimeouts(limits)
        expectThat(channel.isOpen).isFalse()
    }
}
