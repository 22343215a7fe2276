package kingcuptide.daemon.request

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A target that answers each request head with the bytes it is given, so that any misbehaviour can be written out. */
internal class RawTarget(
    private val answer: (Socket) -> Boolean,
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
            var length = 0
            var line = input.readLine() ?: return
            while (line.isNotEmpty()) {
                if (line.startsWith("Content-Length:", ignoreCase = true)) {
                    length =
                        line.substringAfter(':').trim().toInt()
                }
                line = input.readLine() ?: return
            }
            repeat(length) { input.read() }
            requests.incrementAndGet()
            if (!answer(socket)) return
        }
    }
}

internal fun Socket.send(text: String) {
    getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
    getOutputStream().flush()
}
