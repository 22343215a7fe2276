package kingcuptide.forwarder.request

import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * A target that stops listening once [requests] requests have arrived, and responds to each of them [runTime] after it
 * arrived. It responds to health checks at once and closes their connections.
 */
internal class LeavingServer(
    requests: Int,
    private val runTime: Duration,
) : AutoCloseable {
    private val unarrived = CountDownLatch(requests)
    private val runsById = ConcurrentHashMap<String, Int>()

    /** How often each request has arrived, by its id. */
    val runs: Map<String, Int> get() = runsById

    private val server = SocketServer(::serve)

    val address: InetSocketAddress get() = server.address

    fun awaitClosedListener(): Boolean =
        unarrived.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS).also { server.stopListening() }

    override fun close() = server.close()

    private fun serve(socket: Socket) {
        val reader = socket.reader()
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

    private fun respond(socket: Socket, headers: String) =
        socket.send("HTTP/1.1 200 OK\r\n${headers}Content-Length: 2\r\n\r\nok")

    private companion object {
        const val ID_PREFIX = "Id: "
        const val MAX_WAIT_SECONDS = 5L
    }
}
