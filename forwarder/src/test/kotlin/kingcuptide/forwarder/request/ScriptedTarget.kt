package kingcuptide.forwarder.request

import java.net.Socket

/** A target on loopback that sends, to each request of a connection in turn, the next of the texts in its script. */
internal class ScriptedTarget(private vararg val scripts: List<String>) : AutoCloseable {
    private val server = SocketServer(::serve)
    val address = server.address

    /** Number of connections that were accepted. */
    val connections: Int get() = server.connections

    private fun serve(socket: Socket) {
        val reader = socket.reader()
        for (text in scripts.getOrNull(server.connections - 1).orEmpty()) {
            readHead(reader) ?: return
            socket.send(text)
        }
        reader.read()
    }

    override fun close() = server.close()

    companion object {
        fun response(id: String, body: String, status: Int = 200) =
            "HTTP/1.1 $status X\r\nId: $id\r\nProof: p\r\nContent-Length: ${body.length}\r\n\r\n$body"
    }
}
