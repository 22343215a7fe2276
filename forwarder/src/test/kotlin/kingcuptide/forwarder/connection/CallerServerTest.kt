package kingcuptide.forwarder.connection

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kingcuptide.coordination.process.systemClock
import kingcuptide.coordination.version.CallerLimits
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Guards against a stop that cuts off requests whose bytes have arrived and are not read yet. */
internal class CallerServerTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val scope = CoroutineScope(loop.asCoroutineDispatcher() + Job())
    private val address =
        InetSocketAddress(InetAddress.getLoopbackAddress(), ServerSocket(0).use { it.localPort })
    private val limits = CallerLimits(1_000, 10_000_000, 3.seconds, 15.seconds)
    private val server = CallerServer(loop, scope, systemClock(), address, { limits }, refuseAtStop = ::respond) {
        respond(it)
    }

    private fun respond(request: CallerRequest) =
        BufferedResponse(503, listOf("X" to request.path), ByteArray(if (request.path == "/large") LARGE_BYTES else 0))

    init {
        server.listen()
    }

    @AfterEach
    fun stop() {
        scope.cancel()
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    private fun connect() = Socket(address.address, address.port).apply { soTimeout = 5_000 }

    private fun Socket.send(text: String) {
        getOutputStream().write(text.toByteArray())
        getOutputStream().flush()
    }

    /** Reads until the end of the connection. */
    private fun Socket.readAll(): String = use { it.getInputStream().readAllBytes().decodeToString() }

    /** Runs [block] on the event loop, during which it reads nothing. */
    private fun onLoop(block: () -> Unit) = loop.submit(block).sync()

    @Test
    fun `Given requests on new connections, when the server closes before it accepts them, then each is answered`() {
        val callers = ArrayList<Socket>()
        onLoop {
            repeat(CONNECTIONS) { number ->
                callers += connect().apply { send("GET /$number HTTP/1.1\r\nHost: h\r\n\r\n") }
            }
            server.closeAfterResponses()
            server.close()
        }
        callers.forEachIndexed { number, caller ->
            expectThat(caller.readAll()).startsWith("HTTP/1.1 503").contains("X: /$number").contains("close")
        }
    }

    @Test
    fun `Given a request on an idle connection, when the server closes before it reads it, then it is answered`() {
        connect().use { caller ->
            caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
            caller.getInputStream().read()
            onLoop {
                caller.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
                server.closeAfterResponses()
                server.close()
            }
            expectThat(caller.readAll()).contains("X: /2")
        }
    }

    @Test
    fun `Given bytes behind a request, when its response closes the connection, then the response is not lost`() {
        repeat(TIMES) {
            val caller = connect()
            caller.send("GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + "x".repeat(REST_BYTES))
            expectThat(caller.readAll().substringAfter("\r\n\r\n").length).isEqualTo(LARGE_BYTES)
        }
    }

    @Test
    fun `Given a body that is too large, when it is refused, then its caller gets the refusal while it sends`() {
        repeat(TIMES) {
            val caller = connect()
            caller.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n" + "x".repeat(REST_BYTES))
            expectThat(caller.readAll()).startsWith("HTTP/1.1 413")
        }
    }

    private companion object {
        const val CONNECTIONS = 100
        const val LARGE_BYTES = 2_000_000
        const val REST_BYTES = 300_000
        const val TIMES = 20
    }
}
