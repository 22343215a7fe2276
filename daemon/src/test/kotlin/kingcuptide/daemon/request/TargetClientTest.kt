package kingcuptide.daemon.request

import kingcuptide.coordination.connection.Header
import kingcuptide.coordination.connection.RequestHead
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kingcuptide.daemon.process.TargetSettings
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

class TargetClientTest {
    @Nested
    inner class `Given a healthy target that keeps connections open` {
        @Test
        fun `when ten sequential requests are sent, then all use one connection`() {
            val target = RawTarget { it.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").let { true } }
            target.use { runRequests(it, 10).forEach { failure -> expectThat(failure).isNull() } }
            expectThat(target.connections.get()).isEqualTo(1)
        }
    }

    @Nested
    inner class `Given a target that truncates its response` {
        @Test
        fun `when a chunked body ends without its last chunk, then the response is reported as truncated`() {
            val target =
                RawTarget {
                    it.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n").let { false }
                }
            target.use { expectThat(runRequests(it, 1).single()?.code).isEqualTo(ResultCode.ANSWER_TRUNCATED) }
        }

        @Test
        fun `when a body ends before its declared length, then the response is reported as truncated`() {
            val target = RawTarget { it.send("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello").let { false } }
            target.use { expectThat(runRequests(it, 1).single()?.code).isEqualTo(ResultCode.ANSWER_TRUNCATED) }
        }
    }

    @Nested
    inner class `Given a target that crashes while it handles a request` {
        @Test
        fun `when the connection closes without a response, then the outcome is unknown and it is not retried`() {
            val target = RawTarget { false }
            target.use {
                val failure = runRequests(it, 1).single()
                expectThat(failure).isEqualTo(TargetFailure(ResultCode.TARGET_DIED, Outcome.UNKNOWN))
            }
            expectThat(target.requests.get()).isEqualTo(1)
        }

        @Test
        fun `when it closes a reused connection on the second request, then that request is not retried`() {
            var responses = 0
            val target =
                RawTarget {
                    if (responses++ == 0) it.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                    responses == 1
                }
            target.use { expectThat(runRequests(it, 2).last()?.outcome).isEqualTo(Outcome.UNKNOWN) }
            expectThat(target.requests.get()).isEqualTo(2)
        }

        @Test
        fun `when the connection is refused, then the request did not run`() {
            val port = ServerSocket(0).use { it.localPort }
            val failure = TargetClient(TargetSettings("127.0.0.1", port)).use { run(it, head()) }
            expectThat(failure).isEqualTo(TargetFailure(ResultCode.TARGET_DOWN, Outcome.NOT_RUN))
        }
    }

    private fun runRequests(target: RawTarget, times: Int): List<TargetFailure?> =
        TargetClient(TargetSettings("127.0.0.1", target.port)).use { client -> List(times) { run(client, head()) } }

    private fun run(client: TargetClient, head: RequestHead): TargetFailure? =
        runBlocking { client.run(head, body = null, 5.seconds, IgnoringSink) }

    private fun head() = requestHead(method = "GET", idempotent = true, keyHash = null)

    private object IgnoringSink : ResponseSink {
        override suspend fun head(status: Int, headers: List<Header>) = Unit

        override suspend fun body(bytes: ByteArray) = Unit

        override suspend fun end() = Unit
    }

    companion object {
        @BeforeAll
        @JvmStatic
        fun disableClientRetries() {
            System.setProperty("jdk.httpclient.redirects.retrylimit", "1")
        }
    }
}
