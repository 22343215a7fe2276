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
import strikt.assertions.containsExactlyInAnyOrder
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that start after a pause of the process although the end of their connection has arrived. */
internal class WithdrawnRequestTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val scope = CoroutineScope(loop.asCoroutineDispatcher() + Job())
    private val address =
        InetSocketAddress(InetAddress.getLoopbackAddress(), ServerSocket(0).use { it.localPort })
    private val limits = CallerLimits(1_000, 1_000, 3.seconds, 15.seconds)
    private val started = ConcurrentLinkedQueue<String>()
    private val server = CallerServer(loop, scope, systemClock(), address, { limits }) {
        started += it.path
        BufferedResponse(200, emptyList(), NO_BYTES)
    }

    init {
        server.listen()
    }

    @AfterEach
    fun stop() {
        scope.cancel()
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    private fun connect() = Socket(address.address, address.port).apply { soTimeout = 5_000 }

    private fun Socket.send(path: String) =
        getOutputStream().write("GET $path HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())

    /** Runs [block] on the event loop, during which it reads nothing. */
    private fun pause(block: () -> Unit) = loop.submit(block).sync()

    private fun sendAndLeave(callers: List<Socket>, leave: (Socket) -> Unit) =
        callers.forEachIndexed { number, caller ->
            caller.send("/left/$number")
            leave(caller)
        }

    private fun sendAndStay(callers: List<Socket>) =
        callers.forEachIndexed { number, caller -> caller.send("/stays/$number") }

    private fun expectStartedOnly(staying: List<Socket>) {
        staying.forEach { it.use { caller -> caller.getInputStream().read() } }
        expectThat(started).containsExactlyInAnyOrder(staying.indices.map { "/stays/$it" })
    }

    @Test
    fun `Given new connections, when callers send and leave during a pause, then their requests do not start`() {
        val leaving = ArrayList<Socket>()
        val staying = ArrayList<Socket>()
        pause {
            repeat(CALLERS) { leaving += connect() }
            repeat(CALLERS) { staying += connect() }
            sendAndLeave(leaving) { it.close() }
            sendAndStay(staying)
        }
        expectStartedOnly(staying)
    }

    @Test
    fun `Given open connections, when callers send and leave during a pause, then their requests do not start`() {
        val leaving = List(CALLERS) { connect() }
        val staying = List(CALLERS) { connect() }
        pause {
            sendAndLeave(leaving) { it.close() }
            sendAndStay(staying)
        }
        expectStartedOnly(staying)
    }

    @Test
    fun `Given a reset in place of an end, when callers leave during a pause, then their requests do not start`() {
        val leaving = List(CALLERS) { connect() }
        val staying = List(CALLERS) { connect() }
        pause {
            sendAndLeave(leaving) {
                it.setSoLinger(true, 0)
                it.close()
            }
            sendAndStay(staying)
        }
        expectStartedOnly(staying)
    }

    private companion object {
        const val CALLERS = 50
    }
}
