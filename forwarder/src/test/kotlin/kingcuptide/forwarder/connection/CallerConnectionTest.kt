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
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import kotlin.time.Duration.Companion.seconds

internal class CallerConnectionTest {
    private val clock = ManualClock()
    private val limits =
        CallerLimits(maxHeadBytes = 512, maxBodyBytes = 64, headTimeout = 3.seconds, idleTimeout = 15.seconds)
    private val served = ArrayList<CallerRequest>()
    private var pendingResponse: CompletableDeferred<BufferedResponse>? = null
    private var cancelled = false
    private var cancelReason: String? = null
    private val connection =
        CallerConnection(
            CoroutineScope(Dispatchers.Unconfined),
            clock,
            limits,
            BufferLimit(64),
            ::serve,
            ::refuseByHead,
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
        served += request
        val pending = pendingResponse ?: return BufferedResponse(200, listOf("X" to "y"), "ok".encodeToByteArray())
        try {
            return pending.await()
        } catch (exception: CancellationException) {
            cancelReason = exception.message
            throw exception
        } finally {
            cancelled = !pending.isCompleted
        }
    }

    private fun refuseByHead(request: CallerRequest): BufferedResponse? =
        BufferedResponse(401, emptyList(), NO_BYTES).takeIf { request.target == "/refused" }

    private fun send(text: String) {
        channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))
    }

    private fun received(): String = buildString {
        while (true) {
            val bytes = channel.readOutbound<ByteBuf>() ?: break
            append(bytes.toString(Charsets.ISO_8859_1))
        }
    }

    @Nested
    inner class `Well-formed requests` {
        @Test
        fun `Given a request with a length, when it is complete, then it is served once and the connection stays`() {
            send("POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
            expectThat(served).isEmpty()
            send("cd")
            expectThat(served.map { it.target to it.body.decodeToString() }).containsExactly("/a?b=c" to "abcd")
            expectThat(received()).startsWith("HTTP/1.1 200 OK").contains("content-length: 2")
            expectThat(channel.isOpen).isTrue()
        }

        @Test
        fun `Given a chunked request, when it is complete, then its body is reassembled`() {
            send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
            expectThat(served.single().body.decodeToString()).isEqualTo("abc")
        }

        @Test
        fun `Given two pipelined requests, when the first has its response, then the second is served`() {
            val pending = CompletableDeferred<BufferedResponse>().also { pendingResponse = it }
            send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
            expectThat(served.map { it.target }).containsExactly("/1")
            pendingResponse = null
            pending.complete(BufferedResponse(200, emptyList(), NO_BYTES))
            expectThat(served.map { it.target }).containsExactly("/1", "/2")
        }

        @Test
        fun `Given a daemon that stops, when it responds, then the response announces the close`() {
            connection.closesAfterResponse = true
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            expectThat(received()).contains("connection: close")
            expectThat(channel.isOpen).isFalse()
        }
    }

    @Nested
    inner class `Malformed or ambiguous requests` {
        private fun expectRefused(status: Int, text: String) {
            send(text)
            expectThat(served).isEmpty()
            expectThat(received()).startsWith("HTTP/1.1 $status ")
            expectThat(channel.isOpen).isFalse()
        }

        @Test
        fun `Given two lengths, when the request arrives, then it is refused`() =
            expectRefused(400, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab")

        @Test
        fun `Given a length and chunks, when the request arrives, then it is refused`() = expectRefused(
            400,
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
        )

        @Test
        fun `Given no Host header, when the request arrives, then it is refused`() {
            expectRefused(400, "GET / HTTP/1.1\r\n\r\n")
        }

        @Test
        fun `Given two Host headers, when the request arrives, then it is refused`() =
            expectRefused(400, "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")

        @Test
        fun `Given a head beyond the limit, when it arrives, then it is refused as too large`() =
            expectRefused(431, "GET / HTTP/1.1\r\nHost: h\r\nX: ${"x".repeat(600)}\r\n\r\n")

        @Test
        fun `Given a body beyond the limit, when it is announced, then it is refused as too large`() =
            expectRefused(413, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n")

        @Test
        fun `Given chunks beyond the limit, when they arrive, then the body is refused as too large`() = expectRefused(
            413,
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n${"x".repeat(80)}\r\n",
        )
    }

    @Nested
    inner class `Requests that their head rules out` {
        @Test
        fun `Given a caller that waits for 100, when its head is refused, then it gets the refusal before its body`() {
            send("POST /refused HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
            expectThat(received()).startsWith("HTTP/1.1 401 ").contains("connection: close")
            expectThat(channel.isOpen).isFalse()
            expectThat(served).isEmpty()
        }

        @Test
        fun `Given a body on its way, when the head is refused, then the body is discarded and the connection stays`() {
            send("POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
            expectThat(received()).isEqualTo("")
            send("cdGET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
            expectThat(received()).startsWith("HTTP/1.1 401 ").contains("HTTP/1.1 200 ")
            expectThat(served.map { it.target to it.body.size }).containsExactly("/1" to 0)
            expectThat(channel.isOpen).isTrue()
        }

        @Test
        fun `Given no body, when the head is refused, then the refusal is sent at once`() {
            send("GET /refused HTTP/1.1\r\nHost: h\r\n\r\n")
            expectThat(received()).startsWith("HTTP/1.1 401 ")
            expectThat(channel.isOpen).isTrue()
        }

        @Test
        fun `Given chunks beyond the limit, when the head is refused, then the body is still bounded`() {
            val chunk = "20\r\n${"x".repeat(32)}\r\n"
            send("POST /refused HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.repeat(3))
            expectThat(received()).startsWith("HTTP/1.1 413 ")
        }
    }

    @Nested
    inner class `Callers that disconnect or are slow` {
        @Test
        fun `Given a running request, when its caller disconnects, then it is cancelled`() {
            pendingResponse = CompletableDeferred()
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            channel.close()
            expectThat(cancelled).isTrue()
            expectThat(cancelReason).isEqualTo("connection ended")
        }

        @Test
        fun `Given a running request, when the stop limit has passed, then it gets 502 and the connection closes`() {
            pendingResponse = CompletableDeferred()
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            connection.endRequests()
            expectThat(received()).startsWith("HTTP/1.1 502 ").contains("connection: close")
            expectThat(cancelled).isTrue()
            expectThat(cancelReason).isEqualTo("end of a stop")
            expectThat(channel.isOpen).isFalse()
        }

        @Test
        fun `Given half a head, when its timeout has passed, then the caller gets 408`() {
            send("GET / HT")
            clock.advance(4.seconds)
            connection.checkTimeouts(limits)
            expectThat(received()).startsWith("HTTP/1.1 408 ")
        }

        @Test
        fun `Given an idle connection, when its idle limit has passed, then it is closed, and not before`() {
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            clock.advance(12.seconds)
            connection.checkTimeouts(limits)
            expectThat(channel.isOpen).isTrue()
            clock.advance(4.seconds)
            connection.checkTimeouts(limits)
            expectThat(channel.isOpen).isFalse()
        }

        @Test
        fun `Given a slow running request, when time passes, then it is not timed out`() {
            pendingResponse = CompletableDeferred()
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            clock.advance(30.seconds)
            connection.checkTimeouts(limits)
            expectThat(channel.isOpen).isTrue()
            expectThat(served).hasSize(1)
        }
    }
}
