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
    inner class `Given a request that no route or workspace fits` {
        @Test
        fun `when the route is unknown, then the answer is 404 with code 101`() = expectRefusal("/nowhere", 404, 101)

        @Test
        fun `when the workspace is unknown, then the answer is 403 with code 102`() =
            expectRefusal("/parcels/1", 403, 102, "Kingcuptide-Workspace" to "nobody")

        @Test
        fun `when the timeout is no number, then the answer is 400 with code 108`() =
            expectRefusal("/parcels/1", 400, 108, "Kingcuptide-Timeout-Ms" to "soon")

        @Test
        fun `when the content type is no media type, then the answer is 400 with code 100`() =
            expectRefusal("/parcels/1", 400, 100, "Content-Type" to "garbage")

        @Test
        fun `when the key is empty, then the answer is 400 with code 109`() = expectRefusal(
            "/parcels/1",
            400,
            109,
            "Idempotency-Key" to " ",
        )
    }

    @Nested
    inner class `Given a body over the limit of its route` {
        @Test
        fun `when its length is declared, then it is refused before it is read`() {
            val answer = raw(host.httpPort, "POST /parcels/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n")
            expectThat(answer).startsWith("HTTP/1.1 413")
        }
    }

    @Nested
    inner class `Given bytes that are no HTTP request` {
        @Test
        fun `when they arrive, then the connection ends and the daemon goes on`() {
            raw(host.httpPort, "\u0000\u0001nonsense\r\n\r\n")
            expectStillServing()
        }

        @Test
        fun `when a header is endless, then the connection ends and the daemon goes on`() {
            raw(host.httpPort, "GET /parcels/1 HTTP/1.1\r\nHost: x\r\nLong: ${"a".repeat(2_000_000)}\r\n\r\n")
            expectStillServing()
        }
    }

    @Nested
    inner class `Given bytes on the peer port that are no frames` {
        @Test
        fun `when a frame is malformed, then it is counted and the daemon goes on`() {
            raw(host.peerPort, "R\u0000\u0000\u0000\u0005\u0001abcd")
            fleet.await("the fault") { fleet.metric(host, "kingcuptide_faults_total{code=\"501\"}") > 0.0 }
            expectStillServing()
        }

        @Test
        fun `when a frame is of another protocol version, then it is counted and the daemon goes on`() {
            raw(host.peerPort, "R\u0000\u0000\u0000\u0005\u0009abcd")
            fleet.await("the fault") { fleet.metric(host, "kingcuptide_faults_total{code=\"500\"}") > 0.0 }
            expectStillServing()
        }

        @Test
        fun `when a frame claims to be huge, then it is counted and the daemon goes on`() {
            raw(host.peerPort, "R\u007f\u0000\u0000\u0000")
            fleet.await("the fault") { fleet.metric(host, "kingcuptide_faults_total{code=\"502\"}") > 0.0 }
            expectStillServing()
        }

        @Test
        fun `when the first byte is unknown, then it is counted and the daemon goes on`() {
            raw(host.peerPort, "Zzzz")
            expectStillServing()
        }
    }

    private fun expectRefusal(path: String, status: Int, code: Int, vararg headers: Pair<String, String>) {
        val answer = fleet.get(fleet.entryUrl(host, path), *headers)
        expectThat(answer.statusCode()).isEqualTo(status)
        expectThat(answer.headers().firstValue("Kingcuptide-Code").get()).isEqualTo(code.toString())
        expectThat(answer.headers().firstValue("Kingcuptide-Outcome").get()).isEqualTo("not-run")
    }

    private fun expectStillServing() {
        expectThat(fleet.get(fleet.entryUrl(host, "/parcels/1")).statusCode()).isEqualTo(200)
    }

    /** Sends [text] byte by byte as Latin-1, and returns what comes back until the other side closes or falls silent. */
    private fun raw(port: Int, text: String): String =
        Socket().use { socket ->
            socket.connect(InetSocketAddress(host.ip, port), TIMEOUT_MS)
            socket.soTimeout = TIMEOUT_MS
            runCatching {
                socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
                socket.getOutputStream().flush()
                String(socket.getInputStream().readNBytes(MAX_ANSWER), Charsets.ISO_8859_1)
            }.getOrDefault("")
        }

    private companion object {
        const val TIMEOUT_MS = 2_000
        const val MAX_ANSWER = 12
    }
}
