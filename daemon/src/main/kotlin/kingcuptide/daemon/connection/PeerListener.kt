package kingcuptide.daemon.connection

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByte
import kingcuptide.coordination.connection.FrameCodec
import kingcuptide.coordination.process.ResultCode
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Accepts request and control connections of peers, at most [MAX_CONNECTIONS] at a time. */
class PeerListener(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val codec: FrameCodec,
    private val onFault: (ResultCode) -> Unit,
    private val serveRequests: suspend (FramePipe) -> Unit,
    private val serveControl: suspend (ByteReadChannel) -> Unit,
) {
    private val openCount = AtomicInteger()

    /** Binds the port and starts to accept. */
    suspend fun start(ip: String, port: Int) {
        val server = aSocket(selector).tcp().bind(InetSocketAddress(ip, port)) { reuseAddress = true }
        scope.launch {
            while (true) {
                val socket = server.accept()
                if (openCount.incrementAndGet() > MAX_CONNECTIONS) refuse(socket) else launch { serveCounted(socket) }
            }
        }
    }

    private fun refuse(socket: Socket) {
        openCount.decrementAndGet()
        socket.close()
    }

    private suspend fun serveCounted(socket: Socket) {
        try {
            serve(socket)
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            // The peer broke the connection; requests and control messages on it handle the loss themselves.
        } finally {
            socket.close()
            openCount.decrementAndGet()
        }
    }

    private suspend fun serve(socket: Socket) {
        val input = socket.openReadChannel()
        val purposeByte = withTimeoutOrNull(FIRST_BYTE_TIMEOUT) { input.readByte() } ?: return
        when (ConnectionPurpose.of(purposeByte)) {
            ConnectionPurpose.REQUESTS -> {
                val output = socket.openWriteChannel(autoFlush = false)
                serveRequests(SocketPipe(socket, input, output, codec, onFault))
            }
            ConnectionPurpose.CONTROL -> serveControl(input)
            null -> onFault(ResultCode.PEER_FRAME_MALFORMED)
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 4_096
        val FIRST_BYTE_TIMEOUT = 5.seconds
    }
}
