package kingcuptide.forwarder.request

import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * A target on loopback that cuts and joins what it sends at random, and sends copies of its responses again: at once, while
 * the connection is idle, or in part or whole in front of a later response, with the same id and status or without.
 */
internal class StutteringTarget(private val seed: Int) : AutoCloseable {
    private val server = SocketServer(::serve)
    private val accepted = AtomicInteger()

    /** What it has answered to each id, one element for each run. */
    val answers = ConcurrentHashMap<String, CopyOnWriteArrayList<Answer>>()
    val address = server.address

    data class Answer(val status: Int, val body: String, val proof: String)

    private fun serve(socket: Socket) {
        val random = Random(seed * 1_000 + accepted.incrementAndGet())
        val reader = socket.reader()
        var held = ""
        while (true) {
            val head = readHead(reader) ?: return
            val isHead = head.first().startsWith("HEAD ")
            val id = head.first { it.startsWith("Id: ") }.substring("Id: ".length)
            val answer = answer(id, random)
            if (held.isNotEmpty()) cut(socket, held, random)
            held = ""
            val copy = if (random.nextInt(2) == 0) copyOf(id, answer, isHead, random) else ""
            val at = random.nextInt(copy.length + 1).takeIf { random.nextBoolean() } ?: 0
            cut(socket, render(id, answer, isHead, random) + copy.take(at), random)
            held = copy.drop(at)
            if (held.isEmpty() || random.nextInt(3) > 0) continue
            TimeUnit.MICROSECONDS.sleep(random.nextLong(MAX_PAUSE_MICROS))
            cut(socket, held, random)
            held = ""
        }
    }

    private fun answer(id: String, random: Random): Answer {
        val runs = answers.getOrPut(id) { CopyOnWriteArrayList() }
        val text = "$id/${runs.size}/".repeat(random.nextInt(LENGTHS.random(random)))
        val answer = Answer(STATUSES.random(random), text, "p-$id-${runs.size}")
        runs += if (answer.status == NO_CONTENT) answer.copy(body = "") else answer
        return runs.last()
    }

    private fun copyOf(id: String, answer: Answer, isHead: Boolean, random: Random): String = when (random.nextInt(5)) {
        0 -> render(null, answer, isHead, random)
        1 -> render(id, answer.copy(status = STATUSES.random(random)), isHead, random)
        2 -> "HTTP/1.1 100 Continue\r\n\r\n" + render(id, answer, isHead, random)
        3 -> "garbage".take(random.nextInt(7)) + "\r\n\r\n"
        else -> render(id, answer, isHead, random)
    }

    private fun render(id: String?, answer: Answer, isHead: Boolean, random: Random): String {
        val head = "HTTP/1.1 ${answer.status} X\r\n${id?.let { "Id: $it\r\n" }.orEmpty()}Proof: ${answer.proof}\r\n"
        if (answer.status == NO_CONTENT) return "$head\r\n"
        val isChunked = random.nextBoolean()
        val framing = if (isChunked) "Transfer-Encoding: chunked" else "Content-Length: ${answer.body.length}"
        if (isHead) return "$head$framing\r\n\r\n"
        if (!isChunked) return "$head$framing\r\n\r\n${answer.body}"
        val chunks = answer.body.chunked(random.nextInt(1, MAX_CHUNK_BYTES))
        return "$head$framing\r\n\r\n${chunks.joinToString("") { "%x\r\n%s\r\n".format(it.length, it) }}0\r\n\r\n"
    }

    private fun cut(socket: Socket, text: String, random: Random) {
        var rest = text
        while (rest.isNotEmpty()) {
            val length = if (random.nextBoolean()) rest.length else random.nextInt(rest.length) + 1
            socket.send(rest.take(length))
            rest = rest.drop(length)
            if (random.nextInt(4) == 0) TimeUnit.MICROSECONDS.sleep(random.nextLong(MAX_PAUSE_MICROS))
        }
    }

    override fun close() = server.close()

    private companion object {
        const val NO_CONTENT = 204
        const val MAX_CHUNK_BYTES = 500
        const val MAX_PAUSE_MICROS = 2_000L
        val STATUSES = listOf(200, 200, 200, 201, NO_CONTENT, 404, 500, 503)
        val LENGTHS = listOf(2, 20, 2_000)
    }
}
