package kingcuptide.forwarder.request

import java.io.BufferedReader
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration

/**
 * A target that stops listening once [requests] requests have arrived, and responds to each of them [runTime] after it
 * arrived. It responds to health checks at once and closes their connections.
 */
internal class LeavingServer(
    requests: Int,
    private val runTime: Duration,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentLinkedQueue<Socket>()
    private val unarrived = CountDownLatch(requests)
    private val runsById = ConcurrentHashMap<String, Int>()

    val address: InetSocketAddress = listener.localSocketAddress as InetSocketAddress

    /** How often each request has arrived, by its id. */
    val runs: Map<String, Int> get() = runsById

    init {
        startThread {
            while (true) {
                val socket = listener.accept()
                sockets += socket
                startThread { serve(socket) }
            }
        }
    }

    fun awaitClosedListener(): Boolean =
        unarrived.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS).also { listener.close() }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            val head = readHead(reader) ?: return
            val id = head.firstOrNull { it.startsWith(ID_PREFIX) }?.removePrefix(ID_PREFIX)
            if (id == null) return respond(socket, "Connection: close\r\nTarget: t\r\n").also { socket.close() }
            runsById.merge(id, 1, Int::plus)
            unarrived.countDown()
            TimeUnit.MILLISECONDS.sleep(runTime.inWholeMilliseconds)
            respond(socket, "Id: $id\r\nProof: p\r\n")
        }
    }

    private fun readHead(reader: BufferedReader): List<String>? {
        val lines = reader.lineSequence().takeWhile { it.isNotEmpty() }.toList()
        return lines.ifEmpty { null }
    }

    private fun respond(socket: Socket, headers: String) =
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\n${headers}Content-Length: 2\r\n\r\nok".toByteArray())

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
        const val ID_PREFIX = "Id: "
        const val MAX_WAIT_SECONDS = 5L
    }
}
