package kingcuptide.forwarder.request

import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit

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
 * A target that responds to health checks, and sends [response] to any other request. It then [crashes], which ends all its
 * connections, with resets if [resets], or else closes that connection.
 */
internal class CrashingServer(
    private val response: String,
    private val resets: Boolean,
    private val crashes: Boolean = true,
) : AutoCloseable {
    private val server = SocketServer(::serve)

    val address: InetSocketAddress get() = server.address

    override fun close() = server.close()

    private fun serve(socket: Socket) {
        val reader = socket.reader()
        while (true) {
            val head = readHead(reader) ?: return
            if (head.none { it.startsWith("Id: ") }) {
                socket.send(HEALTHY)
                continue
            }
            socket.send(response)
            TimeUnit.MILLISECONDS.sleep(CRASH_DELAY_MS)
            return if (crashes) server.close(resets) else socket.close()
        }
    }

    private companion object {
        const val HEALTHY = "HTTP/1.1 200 OK\r\nTarget: t\r\nContent-Length: 0\r\n\r\n"

        /** Time for the response to arrive before a reset of the connection discards it. */
        const val CRASH_DELAY_MS = 20L
    }
}
