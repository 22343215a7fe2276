package kingcuptide.forwarder.request

import java.io.BufferedReader
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** What a target has sent of its response to the request "1" when it crashes. */
internal enum class CrashPoint(val sent: String) {
    BEFORE_RESPONSE(""),
    STATUS_LINE("HTTP/1.1 20"),
    HEAD("${OK_HEAD}Conte"),
    END_OF_HEADER("${OK_HEAD}Content-Length: 4\r\n"),
    BEFORE_BODY("${OK_HEAD}Content-Length: 4\r\n\r\n"),
    BODY("${OK_HEAD}Content-Length: 4\r\n\r\n{"),
    CHUNKS("${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n"),
    TRAILERS("${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n"),
    BODY_UNTIL_CLOSE("${OK_HEAD}\r\n{"),
    INTERIM_RESPONSE("HTTP/1.1 102 Processing\r\n\r\n"),
    INVALID_RESPONSE("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{"),
    NOT_HTTP("\u0000\u0001\r\n\r\n"),
    RESPONSE("${OK_HEAD}Content-Length: 1\r\n\r\n{"),
    ERROR_RESPONSE("HTTP/1.1 500 E\r\nId: 1\r\nContent-Length: 1\r\n\r\n{"),
    CLOSING_RESPONSE("${OK_HEAD}Connection: close\r\nContent-Length: 1\r\n\r\n{"),
}

private const val OK_HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n"

/**
 * A target that responds to health checks, and to any other request with [response] before it ends the connection, with a
 * reset if [resets]. It then ends with all its connections if [crashes].
 */
internal class CrashingServer(
    private val response: String,
    private val resets: Boolean,
    private val crashes: Boolean = true,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentLinkedQueue<Socket>()

    val address: InetSocketAddress = listener.localSocketAddress as InetSocketAddress

    init {
        startThread {
            while (true) {
                val socket = listener.accept()
                sockets += socket
                startThread { serve(socket) }
            }
        }
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            val head = readHead(reader) ?: return
            if (head.none { it.startsWith("Id: ") }) {
                socket.getOutputStream().write(HEALTHY.toByteArray(Charsets.ISO_8859_1))
                continue
            }
            socket.getOutputStream().write(response.toByteArray(Charsets.ISO_8859_1))
            TimeUnit.MILLISECONDS.sleep(CRASH_DELAY_MS)
            if (resets) sockets.forEach { it.setSoLinger(true, 0) }
            return if (crashes) close() else socket.close()
        }
    }

    private fun readHead(reader: BufferedReader): List<String>? {
        val lines = reader.lineSequence().takeWhile { it.isNotEmpty() }.toList()
        return lines.ifEmpty { null }
    }

    private fun startThread(action: () -> Unit) {
        thread(isDaemon = true) {
            try {
                action()
            } catch (_: IOException) {
                // The server or its peer has closed the socket.
            }
        }
    }

    private companion object {
        const val BACKLOG = 16
        const val HEALTHY = "HTTP/1.1 200 OK\r\nTarget: t\r\nContent-Length: 0\r\n\r\n"

        /** Time for the response to arrive before a reset of the connection discards it. */
        const val CRASH_DELAY_MS = 20L
    }
}
