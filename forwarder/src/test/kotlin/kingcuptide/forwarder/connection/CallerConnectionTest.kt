package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import kingcuptide.coordination.version.CallerLimits
import kingcuptide.forwarder.ManualClock
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
    private var gate: CompletableDeferred<BufferedResponse>? = null
    private var cancelled = false
    private val connection =
        CallerConnection(CoroutineScope(Dispatchers.Unconfined), clock, limits, false, ::serve) { }
    private val channel =
        EmbeddedChannel(
            connection.byteWatch,
            StrictRequestDecoder(limits.maxHeadBytes),
            HttpResponseEncoder(),
            connection,
        )

    private suspend fun serve(request: CallerRequest): BufferedResponse {
        served += request
        val waiting = gate ?: return BufferedResponse(200, listOf("X" to "y"), "ok".encodeToByteArray())
        try {
            return waiting.await()
        } finally {
            cancelled = !waiting.isCompleted
        }
    }

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
    inner class `Proper requests` {
        @Test
        fun `Given a request with a length, when it is whole, then it is served once and the connection stays`() {
            send("POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
            expectThat(served).isEmpty()
            send("cd")
            expectThat(served.map { it.target to it.body.decodeToString() }).containsExactly("/a?b=c" to "abcd")
            expectThat(received()).startsWith("HTTP/1.1 200 OK").contains("content-length: 2")
            expectThat(channel.isOpen).isTrue()
        }

        @Test
        fun `Given a request in chunks, when it is whole, then its body is put together`() {
            send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
            expectThat(served.single().body.decodeToString()).isEqualTo("abc")
        }

        @Test
        fun `Given two requests sent at once, when the first is answered, then the second is served after it`() {
            val waiting = CompletableDeferred<BufferedResponse>().also { gate = it }
            send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
            expectThat(served.map { it.target }).containsExactly("/1")
            gate = null
            waiting.complete(BufferedResponse(200, emptyList(), NO_BYTES))
            expectThat(served.map { it.target }).containsExactly("/1", "/2")
        }

        @Test
        fun `Given a daemon that stops, when it answers, then the caller is told that the connection closes`() {
            connection.closesAfterAnswer = true
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            expectThat(received()).contains("connection: close")
            expectThat(channel.isOpen).isFalse()
        }
    }

    @Nested
    inner class `Requests that hide others or are malformed` {
        private fun expectRefused(status: Int, text: String) {
            send(text)
            expectThat(served).isEmpty()
            expectThat(received()).startsWith("HTTP/1.1 $status ")
            expectThat(channel.isOpen).isFalse()
        }

        @Test
        fun `Given two lengths, when the request comes, then it is refused`() =
            expectRefused(400, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab")

        @Test
        fun `Given a length and chunks, when the request comes, then it is refused`() = expectRefused(
            400,
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
        )

        @Test
        fun `Given no host or two, when the request comes, then it is refused`() {
            expectRefused(400, "GET / HTTP/1.1\r\n\r\n")
        }

        @Test
        fun `Given two hosts, when the request comes, then it is refused`() =
            expectRefused(400, "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")

        @Test
        fun `Given a head beyond the limit, when it comes, then it is refused as too large`() =
            expectRefused(431, "GET / HTTP/1.1\r\nHost: h\r\nX: ${"x".repeat(600)}\r\n\r\n")

        @Test
        fun `Given a body beyond the limit, when it is announced, then it is refused as too large`() =
            expectRefused(413, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n")

        @Test
        fun `Given chunks beyond the limit, when they come, then the request is refused as too large`() = expectRefused(
            413,
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n${"x".repeat(80)}\r\n",
        )
    }

    @Nested
    inner class `Callers that leave or linger` {
        @Test
        fun `Given a request at work, when its caller closes, then the work is cancelled`() {
            gate = CompletableDeferred()
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            channel.close()
            expectThat(cancelled).isTrue()
        }

        @Test
        fun `Given a stop that can't wait any longer, when a request is at work, then it gets a final answer`() {
            gate = CompletableDeferred()
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            connection.giveUp()
            expectThat(received()).startsWith("HTTP/1.1 502 ").contains("connection: close")
            expectThat(cancelled).isTrue()
            expectThat(channel.isOpen).isFalse()
        }

        @Test
        fun `Given half a head, when its time has passed, then the caller is told that it has not run`() {
            send("GET / HT")
            clock.advance(4.seconds)
            connection.checkTime(limits)
            expectThat(received()).startsWith("HTTP/1.1 408 ")
        }

        @Test
        fun `Given an idle connection, when idle below its limit, then it stays, and goes after it`() {
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            clock.advance(12.seconds)
            connection.checkTime(limits)
            expectThat(channel.isOpen).isTrue()
            clock.advance(4.seconds)
            connection.checkTime(limits)
            expectThat(channel.isOpen).isFalse()
        }

        @Test
        fun `Given a slow request at work, when time passes, then it is left alone`() {
            gate = CompletableDeferred()
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            clock.advance(30.seconds)
            connection.checkTime(limits)
            expectThat(channel.isOpen).isTrue()
            expectThat(served).hasSize(1)
        }
    }
}
