package kingcuptide.forwarder.connection

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Calls a server that sends scripted bytes, which need not be valid HTTP. */
internal class HttpConnectionTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val address = InetSocketAddress(server.inetAddress, server.localPort)

    @AfterEach
    fun stop() {
        server.close()
        loop.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.SECONDS).sync()
    }

    /** Sends the n-th of [responses] to the n-th request, then closes the connection, with a reset if [resets]. */
    private fun script(vararg responses: String, resets: Boolean = false) {
        thread(isDaemon = true) {
            server.accept().use { socket ->
                for (response in responses) {
                    readHead(socket)
                    for ((index, part) in response.split(PAUSE).withIndex()) {
                        if (index > 0) Thread.sleep(PAUSE_MS)
                        socket.getOutputStream().write(part.toByteArray(Charsets.ISO_8859_1))
                    }
                }
                if (resets) socket.setSoLinger(true, 0)
            }
        }
    }

    private fun readHead(socket: Socket) {
        var matched = 0
        while (matched < END_OF_HEAD.length) {
            val byte = socket.getInputStream().read()
            if (byte < 0) return
            matched = if (byte == END_OF_HEAD[matched].code) matched + 1 else 0
        }
    }

    private fun withConnection(
        limits: HttpClientLimits = HttpClientLimits(1.seconds, 1_000),
        block: suspend CoroutineScope.(HttpConnection) -> Unit,
    ) = runBlocking {
        withContext(loop.asCoroutineDispatcher()) {
            val connection = HttpConnection.open(loop, address, limits) { error(it.reason) }
            block(checkNotNull(connection))
        }
    }

    private suspend fun HttpConnection.get(id: String = "1") =
        exchange(HttpCall("GET", "/", listOf("Host" to "h"))) { it.first("Id") in setOf(null, id) }

    private fun HttpResult.body(): String = (this as HttpResult.Answered).response.body.decodeToString()

    @Nested
    inner class `Responses that end right after their head` {
        private val heads =
            listOf(
                "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                "Content-Length: 50\r\n\r\nhello",
                "Content-Length: 50\r\n\r\n",
            )

        /** The connection ends at once after the bytes, so that both may arrive together. */
        @Test
        fun `Given many servers that close after the head, when it arrives, then each response counts as started`() {
            repeat(TIMES) { time ->
                script("HTTP/1.1 200 OK\r\n" + heads[time % heads.size])
                withConnection { connection ->
                    expectThat(connection.get()).isA<HttpResult.Broken>().get { responseStarted }.isTrue()
                }
            }
        }

        @Test
        fun `Given many servers that close before the head, when they do, then no response counts as started`() {
            repeat(TIMES) {
                script("")
                withConnection { connection ->
                    expectThat(connection.get()).isA<HttpResult.Broken>().get { responseStarted }.isFalse()
                }
            }
        }
    }

    /** Guards against a response whose server stopped in its head, and which passes for a whole one with a short body. */
    @Nested
    inner class `Responses that end in their head` {
        private val heads = listOf(
            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\nProof: p\r\n\r\n",
            "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nProof: p\r\n\r\n",
            "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nProof: p\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
        )

        @Test
        fun `Given a server that stops at any byte of a head, when it closes or resets, then none is complete`() {
            for (head in heads) {
                for (length in 0 until head.length) {
                    script(head.take(length), resets = length % 2 == 0)
                    withConnection { connection ->
                        expectThat(connection.get()).describedAs(head.take(length)).isA<HttpResult.Broken>()
                    }
                    script(head.take(length), resets = length % 2 == 1)
                    withConnection { connection ->
                        expectThat(connection.get()).describedAs(head.take(length)).isA<HttpResult.Broken>()
                    }
                }
            }
        }
    }

    @Nested
    inner class `Complete responses` {
        @Test
        fun `Given responses with a length and in chunks, when they arrive, then each is complete`() {
            script(
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n",
            )
            withConnection {
                expectThat(it.get().body()).isEqualTo("abc")
                expectThat(it.isUsable).isTrue()
                expectThat(it.get().body()).isEqualTo("de")
            }
        }

        @Test
        fun `Given a response that ends with its connection, when that is closed, then it is complete`() {
            script("HTTP/1.1 200 OK\r\n\r\nabc")
            withConnection {
                expectThat(it.get().body()).isEqualTo("abc")
                expectThat(it.isUsable).isFalse()
            }
        }

        @Test
        fun `Given a response that closes its connection, when it has arrived, then no other call is sent on it`() {
            script("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
            withConnection {
                expectThat(it.get()).isA<HttpResult.Answered>()
                expectThat(it.get()).isA<HttpResult.NotSent>()
            }
        }

        @Test
        fun `Given a duplicate response to an earlier call, when the next call waits, then it gets its own`() {
            script(
                "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na",
                "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na" +
                    "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nb",
                NOT_SENT,
            )
            withConnection {
                expectThat(it.get("1").body()).isEqualTo("a")
                expectThat(it.get("2").body()).isEqualTo("b")
                expectThat(it.isUsable).describedAs("used again after bytes of another call").isFalse()
            }
        }

        @Test
        fun `Given half a duplicate behind the next call, when the rest arrives, then that gets its own`() {
            script(
                "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na",
                "HTTP/1.1 200 OK\r\nId:$PAUSE 1\r\nContent-Length: 1\r\n\r\n" +
                    "aHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nb",
                NOT_SENT,
            )
            withConnection {
                expectThat(it.get("1").body()).isEqualTo("a")
                expectThat(it.get("2").body()).isEqualTo("b")
                expectThat(it.isUsable).isFalse()
            }
        }

        /** Its rest, or what it is, can't be told from the response to the next call. */
        @Test
        fun `Given half a duplicate while no call waits, when it has arrived, then no other call is sent`() {
            for (separator in listOf("", PAUSE)) {
                script(
                    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na${separator}HTTP/1.1 200 OK\r\nId:",
                    NOT_SENT,
                )
                withConnection {
                    expectThat(it.get("1").body()).isEqualTo("a")
                    if (separator == PAUSE) delay(ARRIVAL_MS)
                    expectThat(it.isUsable).isFalse()
                    expectThat(it.get("2")).isA<HttpResult.NotSent>()
                }
            }
        }

        /** Guards against a connection whose decoder has taken whole lines of a head and so holds no bytes any more. */
        @Test
        fun `Given a duplicate that is cut in its head, when the next call is sent, then it does not get that`() {
            val duplicate = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na"
            for (cut in 1..duplicate.length) {
                script(duplicate + duplicate.take(cut), duplicate.drop(cut) + duplicate.replace("1\r\nC", "2\r\nC"))
                withConnection {
                    expectThat(it.get("1").body()).isEqualTo("a")
                    expectThat(it.isUsable).describedAs("usable after $cut bytes").isFalse()
                }
            }
        }
    }

    /** Guards against several long responses at once, which would fill the memory of the process together. */
    @Nested
    inner class `Responses that share a limit` {
        @Test
        fun `Given a limit of all connections, when responses exceed it one by one, then each has all of it`() {
            script(*Array(3) { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello" })
            withConnection(HttpClientLimits(1.seconds, 1_000, BufferLimit(5))) { connection ->
                repeat(3) { expectThat(connection.get().body()).isEqualTo("hello") }
            }
        }

        @Test
        fun `Given a limit of all connections, when one uses most of it, then another's response breaks off`() {
            val limit = BufferLimit(5)
            expectThat(limit.tryReserve(4)).isTrue()
            script("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")
            withConnection(HttpClientLimits(1.seconds, 1_000, limit)) {
                expectThat(it.get()).isA<HttpResult.Broken>()
            }
            expectThat(limit.tryReserve(1)).describedAs("released by the broken response").isTrue()
        }
    }

    @Nested
    inner class `Incomplete responses` {
        private fun expectBroken(response: String, resets: Boolean = false) {
            script(response, resets = resets)
            withConnection { expectThat(it.get()).isA<HttpResult.Broken>() }
        }

        @Test
        fun `Given fewer bytes than the length, when the connection ends, then the response is incomplete`() =
            expectBroken("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")

        @Test
        fun `Given chunks without an end, when the connection ends, then the response is incomplete`() =
            expectBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n")

        @Test
        fun `Given a response without length, when its connection is reset, then it is incomplete`() =
            expectBroken("HTTP/1.1 200 OK\r\n\r\nabc", resets = true)

        /** Guards against a caller that waits for a response until its deadline, or gets one with a status that is none. */
        @Test
        fun `Given a status that is none, when its head arrives, then the call is broken at once`() {
            for (status in listOf("000", "001", "099", "600", "999", "20", "0200", "+20", "-20", "2x0", "1000")) {
                for (rest in listOf("Content-Length: 1\r\n\r\na", "\r\na")) {
                    script("HTTP/1.1 $status X\r\n$rest", NOT_SENT)
                    withConnection {
                        val result = withTimeoutOrNull(ARRIVAL_MS) { it.get() }
                        expectThat(result).describedAs(status).isA<HttpResult.Broken>()
                        expectThat(it.isUsable).isFalse()
                    }
                }
            }
        }

        @Test
        fun `Given bytes that are not HTTP, when they arrive, then the call is broken`() =
            expectBroken("\u0000\u0001garbage\r\n\r\n")

        @Test
        fun `Given a response beyond the limit, when it arrives, then the call is broken`() =
            expectBroken("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + "x".repeat(1_001))

        @Test
        fun `Given bytes after a complete response, when they have arrived, then the connection is not reused`() {
            script("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb")
            withConnection {
                expectThat(it.get().body()).isEqualTo("a")
                expectThat(it.get()).isA<HttpResult.NotSent>()
            }
        }
    }

    private companion object {
        const val TIMES = 200

        /** A further response in a script, for which its server keeps the connection open. */
        const val NOT_SENT = ""

        /** Divides a response that is sent in two parts. */
        const val PAUSE = "<pause>"
        const val PAUSE_MS = 50L

        /** Time for both parts to arrive. */
        const val ARRIVAL_MS = 500L
        const val END_OF_HEAD = "\r\n\r\n"
    }
}
