package kingcuptide.forwarder.connection

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Responses that never end: [start], then [unit] again and again, with [pause] in between. */
internal enum class EndlessResponse(val start: String, val unit: String, val pause: Duration? = null) {
    NOT_HTTP("", "x".repeat(1_024)),
    EMPTY_LINES("", "\r\n".repeat(500)),
    HEADER_LINE("HTTP/1.1 200 OK\r\nX: ", "x".repeat(1_024)),
    HEADER_LINES("HTTP/1.1 200 OK\r\n", "X: ${"x".repeat(100)}\r\n"),
    BODY_WITH_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x".repeat(1_024)),
    BODY_IN_CHUNKS("$CHUNKED\r\n", "400\r\n${"x".repeat(1_024)}\r\n"),
    BODY_UNTIL_CLOSE("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(1_024)),
    INTERIM_RESPONSES("", "HTTP/1.1 102 Processing\r\n\r\n"),
    UPGRADE("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "x".repeat(1_024)),
    CHUNK_EXTENSION("$CHUNKED\r\n1;x=", "x".repeat(1_024)),
    CHUNK_EXTENSIONS("$CHUNKED\r\n", "1;x=${"x".repeat(4_000)}\r\nx\r\n"),
    TRAILERS("$CHUNKED\r\n0\r\n", "X: ${"x".repeat(100)}\r\n"),
    RESPONSE_TO_ANOTHER("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 999999999999\r\n\r\n", "x".repeat(1_024)),
    RESPONSES_TO_ANOTHER("", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nabc"),
    DRIPPED_EMPTY_LINES("", "\n", 20.milliseconds),
    DRIPPED_STATUS_LINE("", "H", 20.milliseconds),
    DRIPPED_HEADER_LINE("HTTP/1.1 200 OK\r\nX: ", "x", 20.milliseconds),
    DRIPPED_INTERIM_RESPONSES("", "HTTP/1.1 102 Processing\r\n\r\n", 20.milliseconds),
    DRIPPED_RESPONSE_TO_ANOTHER(
        "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 999999999999\r\n\r\n",
        "x",
        20.milliseconds,
    ),
}

private const val CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"

/** A server on loopback that gives [response] to the first request of each connection, until its client closes it. */
internal class FaultyServer(private val response: EndlessResponse) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val firstClosed = CountDownLatch(1)
    val sentBytes = AtomicLong()
    val address = InetSocketAddress(server.inetAddress, server.localPort)

    init {
        thread(isDaemon = true) {
            try {
                while (true) server.accept().let { thread(isDaemon = true) { serve(it) } }
            } catch (_: IOException) {
                // The server is closed.
            }
        }
    }

    /** Returns whether the client closes a connection within [time]. */
    fun isClosedWithin(time: Duration): Boolean = firstClosed.await(time.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    override fun close() = server.close()

    private fun serve(socket: Socket) = socket.use {
        socket.sendBufferSize = SEND_BUFFER_BYTES
        try {
            socket.getInputStream().read(ByteArray(MAX_REQUEST_BYTES))
            send(socket, response.start)
            while (sentBytes.get() < MAX_SENT_BYTES) {
                send(socket, response.unit)
                response.pause?.let { pause -> Thread.sleep(pause.inWholeMilliseconds) }
            }
            while (socket.getInputStream().read() >= 0) Unit
        } catch (_: IOException) {
            // The client has closed the connection.
        }
        firstClosed.countDown()
    }

    private fun send(socket: Socket, text: String) {
        val bytes = text.toByteArray(Charsets.ISO_8859_1)
        socket.getOutputStream().write(bytes)
        sentBytes.addAndGet(bytes.size.toLong())
    }

    companion object {
        /** Bytes that are sent at most, so that a client without bound does not read for ever. */
        const val MAX_SENT_BYTES = 100_000_000L

        /** Bytes that the socket buffers of both sides may hold without being read. */
        const val SOCKET_BUFFER_BYTES = 8_000_000L
        private const val SEND_BUFFER_BYTES = 65_536
        private const val MAX_REQUEST_BYTES = 8_192
        private const val BACKLOG = 16
    }
}
