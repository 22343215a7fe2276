package kingcuptide.daemon.request

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * A target that writes raw bytes in response to each request, so that tests can simulate any protocol violation.
 *
 * [respond] returns whether the connection stays open.
 */
internal class RawTarget(
    private val respond: (Socket) -> Boolean,
) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    val requests = AtomicInteger()
    val connections = AtomicInteger()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) { runCatching { while (true) accept(server.accept()) } }
    }

    override fun close() = server.close()

    private fun accept(socket: Socket) {
        connections.incrementAndGet()
        thread(isDaemon = true) { socket.use { serve(it) } }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            var bodyBytes = 0
            var line = input.readLine() ?: return
            while (line.isNotEmpty()) {
                if (line.startsWith("Content-Length:", ignoreCase = true)) {
                    bodyBytes =
                        line.substringAfter(':').trim().toInt()
                }
                line = input.readLine() ?: return
            }
            repeat(bodyBytes) { input.read() }
            requests.incrementAndGet()
            if (!respond(socket)) return
        }
    }
}

internal fun Socket.send(text: String) {
    getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
    getOutputStream().flush()
}
