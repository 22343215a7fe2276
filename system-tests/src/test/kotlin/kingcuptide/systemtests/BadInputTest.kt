package kingcuptide.systemtests

import kingcuptide.standins.fleet.LocalFleet
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.InetSocketAddress
import java.net.Socket

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BadInputTest {
    private lateinit var fleet: LocalFleet
    private val host get() = fleet.shape.hosts.first()

    @BeforeAll
    fun start() {
        fleet = startFleet(threeHosts(network = 34), "bad-input")
    }

    @AfterAll
    fun stop() = fleet.close()

    @Nested
    inner class `Given a request that is malformed or matches no route or workspace` {
        @Test
        fun `when the route is unknown, then the response is 404 with code 101`() = expectRefusal("/nowhere", 404, 101)

        @Test
        fun `when the workspace is unknown, then the response is 403 with code 102`() =
            expectRefusal("/parcels/1", 403, 102, "Kingcuptide-Workspace" to "nobody")

        @Test
        fun `when the timeout is not a number, then the response is 400 with code 108`() =
            expectRefusal("/parcels/1", 400, 108, "Kingcuptide-Timeout-Ms" to "soon")

        @Test
        fun `when the content type is not a media type, then the response is 400 with code 100`() =
            expectRefusal("/parcels/1", 400, 100, "Content-Type" to "garbage")

        @Test
        fun `when the key is empty, then the response is 400 with code 109`() = expectRefusal(
            "/parcels/1",
            400,
            109,
            "Idempotency-Key" to " ",
        )
    }

    @Nested
    inner class `Given a body over the limit of its route` {
        @Test
        fun `when its length is declared, then it is rejected before it is read`() {
            val reply = send(host.httpPort, "POST /parcels/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n")
            expectThat(reply).startsWith("HTTP/1.1 413")
        }
    }

    @Nested
    inner class `Given bytes that are not an HTTP request` {
        @Test
        fun `when they arrive, then the connection closes and the daemon keeps serving`() {
            send(host.httpPort, "\u0000\u0001nonsense\r\n\r\n")
            expectStillServing()
        }

        @Test
        fun `when a header has 2 MB, then the connection closes and the daemon keeps serving`() {
            send(host.httpPort, "GET /parcels/1 HTTP/1.1\r\nHost: x\r\nLong: ${"a".repeat(2_000_000)}\r\n\r\n")
            expectStillServing()
        }
    }

    @Nested
    inner class `Given bytes on the peer port that are not frames` {
        @Test
        fun `when a frame is malformed, then it is counted and the daemon keeps serving`() {
            send(host.peerPort, "R\u0000\u0000\u0000\u0005\u0001abcd")
            fleet.await("the count of the fault") { fleet.metric(host, "kingcuptide_faults_total{code=\"501\"}") > 0.0 }
            expectStillServing()
        }

        @Test
        fun `when a frame is of another protocol version, then it is counted and the daemon keeps serving`() {
            send(host.peerPort, "R\u0000\u0000\u0000\u0005\u0009abcd")
            fleet.await("the count of the fault") { fleet.metric(host, "kingcuptide_faults_total{code=\"500\"}") > 0.0 }
            expectStillServing()
        }

        @Test
        fun `when a frame claims to be huge, then it is counted and the daemon keeps serving`() {
            send(host.peerPort, "R\u007f\u0000\u0000\u0000")
            fleet.await("the count of the fault") { fleet.metric(host, "kingcuptide_faults_total{code=\"502\"}") > 0.0 }
            expectStillServing()
        }

        @Test
        fun `when the first byte is unknown, then the daemon keeps serving`() {
            send(host.peerPort, "Zzzz")
            expectStillServing()
        }
    }

    private fun expectRefusal(path: String, status: Int, code: Int, vararg headers: Pair<String, String>) {
        val response = fleet.get(fleet.entryUrl(host, path), *headers)
        expectThat(response.statusCode()).isEqualTo(status)
        expectThat(response.headers().firstValue("Kingcuptide-Code").get()).isEqualTo(code.toString())
        expectThat(response.headers().firstValue("Kingcuptide-Outcome").get()).isEqualTo("not-run")
    }

    private fun expectStillServing() {
        expectThat(fleet.get(fleet.entryUrl(host, "/parcels/1")).statusCode()).isEqualTo(200)
    }

    /** Sends [text] as Latin-1; returns up to [MAX_REPLY_BYTES] of the reply, or "" on an error or a timeout. */
    private fun send(port: Int, text: String): String =
        Socket().use { socket ->
            socket.connect(InetSocketAddress(host.ip, port), SOCKET_TIMEOUT_MS)
            socket.soTimeout = SOCKET_TIMEOUT_MS
            runCatching {
                socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
                socket.getOutputStream().flush()
                String(socket.getInputStream().readNBytes(MAX_REPLY_BYTES), Charsets.ISO_8859_1)
            }.getOrDefault("")
        }

    private companion object {
        const val SOCKET_TIMEOUT_MS = 2_000
        const val MAX_REPLY_BYTES = 12
    }
}
