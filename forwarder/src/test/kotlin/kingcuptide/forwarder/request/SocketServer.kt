package kingcuptide.forwarder.request

import java.io.BufferedReader
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

/** A server on loopback that calls [serve] for each connection, in a thread of its own. */
internal class SocketServer(private val serve: (Socket) -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentLinkedQueue<Socket>()

    val address: InetSocketAddress = listener.localSocketAddress as InetSocketAddress

    /** Number of connections that were accepted. */
    val connections: Int get() = sockets.size

    init {
        startThread {
            while (true) {
                val socket = listener.accept()
                sockets += socket
                startThread { serve(socket) }
            }
        }
    }

    /** Accepts no further connection; those that are open stay so. */
    fun stopListening() = listener.close()

    /** Ends all connections, with a reset if [resets]. */
    fun close(resets: Boolean) {
        listener.close()
        if (resets) sockets.forEach { it.setSoLinger(true, 0) }
        sockets.forEach { it.close() }
    }

    override fun close() = close(resets = false)

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
    }
}

/** Returns the lines of the next head, or null at the end of the connection. */
internal fun readHead(reader: BufferedReader): List<String>? =
    reader.lineSequence().takeWhile { it.isNotEmpty() }.toList().ifEmpty { null }

internal fun Socket.reader(): BufferedReader = getInputStream().bufferedReader(Charsets.ISO_8859_1)

internal fun Socket.send(text: String) = getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
