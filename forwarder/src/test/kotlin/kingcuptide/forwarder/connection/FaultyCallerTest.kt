package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import kingcuptide.coordination.version.CallerLimits
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.process.StartQueue
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against callers whose requests never end, and against the loss of requests and responses of others. */
internal class FaultyCallerTest {
    private val clock = ManualClock()
    private val limits =
        CallerLimits(maxHeadBytes = 512, maxBodyBytes = 10_000, headTimeout = 3.seconds, idleTimeout = 15.seconds)
    private val served = ArrayList<CallerRequest>()
    private var serve: suspend (CallerRequest) -> BufferedResponse = { BufferedResponse(200, emptyList(), NO_BYTES) }
    private val buffers = BufferLimit(20_000)
    private val connection =
        CallerConnection(
            CoroutineScope(Dispatchers.Unconfined),
            clock,
            limits,
            buffers,
            ::record,
            starts = StartQueue(clock) { it() },
        ) { }
    private val channel =
        EmbeddedChannel(
            connection.activityHandler,
            StrictRequestDecoder(limits.maxHeadBytes),
            HttpResponseEncoder(),
            connection,
        )

    private suspend fun record(request: CallerRequest): BufferedResponse {
        served += request
        return serve(request)
    }

    private fun send(text: String) {
        channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))
    }

    private fun received(): String = buildString {
        while (true) append((channel.readOutbound<ByteBuf>() ?: break).toString(Charsets.ISO_8859_1))
    }

    /** Sends [unit] every [interval] until the connection is closed; returns the bytes and the time that it took. */
    private fun sendWithoutEnd(start: String, unit: String, interval: Duration): Pair<Int, Duration> {
        val startedAt = clock.now()
        var bytes = start.length
        send(start)
        while (channel.isOpen && bytes < MAX_SENT_BYTES && clock.now() - startedAt < MAX_TIME) {
            send(unit)
            bytes += unit.length
            clock.advance(interval)
            connection.checkTimeouts(limits)
        }
        return bytes to clock.now() - startedAt
    }

    @Nested
    inner class `Requests that never end` {
        /** Heads may have 512 bytes and four times that with all else, bodies 10,000 and twice that with their framing. */
        private fun expectBounded(start: String, unit: String, maxBytes: Int) {
            val (bytes, _) = sendWithoutEnd(start, unit, Duration.ZERO)
            expectThat(channel.isOpen).describedAs("open after $bytes bytes").isFalse()
            expectThat(received()).startsWith("HTTP/1.1 4")
            expectThat(bytes).isLessThanOrEqualTo(maxBytes + unit.length)
            expectThat(served).isEmpty()
        }

        @Test
        fun `Given bytes that are no request, when they do not end, then they are refused`() =
            expectBounded("", "x".repeat(100), 2_048)

        @Test
        fun `Given empty lines, when they do not end, then they are refused`() = expectBounded("", "\r\n", 2_048)

        @Test
        fun `Given header lines, when they do not end, then they are refused`() =
            expectBounded("GET / HTTP/1.1\r\nHost: h\r\n", "X: y\r\n", 2_048)

        @Test
        fun `Given a chunk extension, when it does not end, then it is refused`() =
            expectBounded("$CHUNKED\r\n1;x=", "x".repeat(100), 2 * 10_000 + 2_048)

        @Test
        fun `Given chunks with long extensions, when they do not end, then they are refused`() =
            expectBounded("$CHUNKED\r\n", "1;x=${"x".repeat(400)}\r\nx\r\n", 2 * 10_000 + 2_048)

        @Test
        fun `Given chunks, when they do not end, then they are refused`() =
            expectBounded("$CHUNKED\r\n", "64\r\n${"x".repeat(100)}\r\n", 2 * 10_000 + 2_048)

        @Test
        fun `Given trailers, when they do not end, then they are refused`() =
            expectBounded("$CHUNKED\r\n0\r\n", "X: y\r\n", 2_048)
    }

    /** Guards against many bodies at once, which would fill the memory of the process together. */
    @Nested
    inner class `Bodies that share a limit` {
        private val request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n${"x".repeat(9_000)}"

        @Test
        fun `Given a limit of all connections, when requests exceed it one by one, then each is served`() {
            repeat(3) { send(request) }
            expectThat(served).hasSize(3)
            expectThat(buffers.tryReserve(20_000)).isTrue()
        }

        @Test
        fun `Given a limit that others use, when a body exceeds it, then the request is refused as not run`() {
            buffers.tryReserve(12_000)
            send(request)
            expectThat(received()).startsWith("HTTP/1.1 503 ")
            expectThat(served).isEmpty()
            expectThat(buffers.tryReserve(8_000)).isTrue()
        }

        @Test
        fun `Given a running request, when its caller leaves, then its bytes are free again`() {
            serve = { CompletableDeferred<BufferedResponse>().await() }
            send(request)
            expectThat(buffers.tryReserve(12_000)).isFalse()
            channel.close()
            expectThat(buffers.tryReserve(20_000)).isTrue()
        }
    }

    @Nested
    inner class `Requests that take too long` {
        private fun expectTimedOut(start: String, unit: String, within: Duration) {
            val (_, time) = sendWithoutEnd(start, unit, 1.seconds)
            expectThat(received()).startsWith("HTTP/1.1 408 ")
            expectThat(time).isLessThanOrEqualTo(within)
            expectThat(served).isEmpty()
        }

        @Test
        fun `Given a head, when it arrives byte by byte, then it times out`() =
            expectTimedOut("GET / HTTP/1.1\r\nX: ", "x", 5.seconds)

        @Test
        fun `Given a body, when it arrives byte by byte, then it times out although it never stalls`() =
            expectTimedOut("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n", "x", 17.seconds)

        @Test
        fun `Given chunks, when they arrive one a second, then they time out`() =
            expectTimedOut("$CHUNKED\r\n", "1\r\nx\r\n", 17.seconds)

        @Test
        fun `Given trailers, when they arrive one a second, then they time out`() =
            expectTimedOut("$CHUNKED\r\n0\r\n", "X: y\r\n", 17.seconds)

        @Test
        fun `Given a body over a slow link, when it makes progress, then it is served`() {
            send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000\r\n\r\n")
            repeat(20) {
                clock.advance(1.seconds)
                connection.checkTimeouts(limits)
                send("x".repeat(400))
            }
            expectThat(served).hasSize(1)
        }
    }

    @Nested
    inner class `Requests that follow one that runs` {
        @Test
        fun `Given a running request, when many others are pipelined, then none is cut off`() {
            val pending = CompletableDeferred<BufferedResponse>()
            serve = { pending.await() }
            repeat(PIPELINED) { send("GET /$it HTTP/1.1\r\nHost: h\r\n\r\n") }
            expectThat(channel.isOpen).isTrue()
            expectThat(channel.config().isAutoRead).describedAs("reads more while many wait").isFalse()
            pending.complete(BufferedResponse(200, emptyList(), NO_BYTES))
            expectThat(served.map { it.path }).isEqualTo(List(PIPELINED) { "/$it" })
            expectThat(channel.config().isAutoRead).isTrue()
        }

        @Test
        fun `Given a caller that does not read, when it pipelines requests, then they wait for it`() {
            serve = { BufferedResponse(200, emptyList(), ByteArray(200_000)) }
            channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false)
            repeat(PIPELINED) { send("GET /$it HTTP/1.1\r\nHost: h\r\n\r\n") }
            expectThat(served.size).isLessThanOrEqualTo(1)
            channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true)
            channel.runPendingTasks()
            expectThat(served).hasSize(PIPELINED)
        }
    }

    /** A failure of this program must end the request, or its caller waits for ever and a stop does too. */
    @Nested
    inner class `Errors while a request is served` {
        private fun expectAnswered(error: Throwable) {
            serve = { throw error }
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            expectThat(received()).startsWith("HTTP/1.1 502 ")
            expectThat(connection.isServing).isFalse()
        }

        @Test
        fun `Given any exception, when it is thrown, then the outcome is unknown`() =
            expectAnswered(NoSuchElementException("test"))

        @Test
        fun `Given an error, when it is thrown, then the outcome is unknown`() = expectAnswered(StackOverflowError())

        @Test
        fun `Given a response that cannot be written, when it is, then the connection ends and nothing waits`() {
            serve = { BufferedResponse(200, listOf("X" to "a\nb: c"), NO_BYTES) }
            send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            expectThat(channel.isOpen).isFalse()
            expectThat(connection.isServing).isFalse()
        }
    }

    private companion object {
        const val CHUNKED = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        const val MAX_SENT_BYTES = 1_000_000
        const val PIPELINED = 200
        val MAX_TIME = 100.seconds
    }
}
