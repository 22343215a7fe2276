package kingcuptide.daemon.connection

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import kingcuptide.coordination.connection.GateConnection
import kingcuptide.coordination.connection.GateDecision
import kingcuptide.coordination.connection.Header
import kingcuptide.coordination.connection.RequestFrame
import kingcuptide.coordination.connection.RequestHead
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The gate's side of one connection from an entry: calls [handle] for each request whose timestamp is recent. */
class GateLink(
    private val scope: CoroutineScope,
    private val pipe: FramePipe,
    private val connection: GateConnection,
    private val clock: Clock,
    private val onFault: (ResultCode) -> Unit,
    private val handle: suspend (GateExchange) -> Unit,
) {
    private val exchanges = ConcurrentHashMap<Long, Exchange>()
    private val writes = Channel<RequestFrame>(Channel.UNLIMITED)

    /** Serves the connection until it closes. Requests that were not forwarded by then are dropped. */
    suspend fun serve() {
        val writer = scope.launch { runCatching { writeAll() }.onFailure { pipe.close() } }
        try {
            readAll()
        } finally {
            pipe.close()
            writer.cancel()
            connection.close().forEach { stop(it.number) }
        }
    }

    private suspend fun readAll() {
        while (true) {
            val frame = pipe.read() ?: return
            val decision = frame.onFailure(onFault).getOrElse { return }.let(connection::receive)
            if (!apply(decision)) return
        }
    }

    private fun apply(decision: GateDecision): Boolean {
        when (decision) {
            GateDecision.None -> Unit
            is GateDecision.Established -> write(decision.gateTimestamp)
            is GateDecision.Write -> decision.frames.forEach(::write)
            is GateDecision.Accepted -> accept(decision)
            is GateDecision.RequestBodyChunk -> deliverChunk(decision)
            is GateDecision.CreditGranted -> exchanges[decision.number]?.creditGranted?.trySend(Unit)
            is GateDecision.Cancelled -> stop(decision.number)
            is GateDecision.Expired -> expire(decision)
            is GateDecision.Dropped -> onFault(decision.code)
            is GateDecision.CloseConnection -> {
                onFault(decision.code)
                return false
            }
        }
        return true
    }

    private fun accept(accepted: GateDecision.Accepted) {
        val exchange = Exchange(accepted.head, accepted.deadline)
        exchanges[accepted.head.number] = exchange
        val expiry = scope.launch { expireAt(accepted.deadline) }
        val job =
            scope.launch(start = CoroutineStart.LAZY) {
                try {
                    handle(exchange)
                } finally {
                    expiry.cancel()
                    exchanges.remove(accepted.head.number)
                    connection.refuse(accepted.head.number, ResultCode.CANCELLED).forEach(::write)
                }
            }
        exchange.job = job
        job.start()
    }

    private fun deliverChunk(chunk: GateDecision.RequestBodyChunk) {
        val chunks = exchanges[chunk.number]?.chunks ?: return
        if (chunk.bytes.isNotEmpty()) chunks.trySend(chunk.bytes)
        if (chunk.last) chunks.close()
    }

    private fun expire(expired: GateDecision.Expired) {
        expired.frames.forEach(::write)
        stop(expired.number)
    }

    private fun stop(number: Long) {
        exchanges.remove(number)?.job?.cancel()
    }

    private suspend fun expireAt(deadline: Duration) {
        delay(deadline - clock.now() + EXPIRY_MARGIN)
        connection.tick().forEach(::expire)
    }

    private fun write(frame: RequestFrame) {
        writes.trySend(frame)
    }

    private suspend fun writeAll() {
        for (frame in writes) {
            pipe.write(frame)
            while (true) pipe.write(writes.tryReceive().getOrNull() ?: break)
            pipe.flush()
        }
    }

    private inner class Exchange(
        override val head: RequestHead,
        override val deadline: Duration,
    ) : GateExchange {
        val chunks = Channel<ByteArray>(Channel.UNLIMITED)
        val creditGranted = Channel<Unit>(Channel.CONFLATED)

        @Volatile
        var job: Job? = null

        override val body: ReceiveChannel<ByteArray>? = chunks.takeIf { head.hasBody }

        override fun consumed(bytes: Int) {
            connection.consumed(head.number, bytes)?.let(::write)
        }

        override fun beginForward(): Result<Unit, ResultCode> = connection.beginForward(head.number)

        override fun forwardUnsent() = connection.forwardUnsent(head.number)

        override fun refuse(code: ResultCode, retryAfter: Duration) =
            connection.refuse(head.number, code, retryAfter.inWholeMilliseconds).forEach(::write)

        override fun beginResponse(status: Int, headers: List<Header>) =
            connection.beginResponse(head.number, status, headers).forEach(::write)

        override suspend fun sendResponseChunk(bytes: ByteArray): Boolean {
            var sent = 0
            while (sent < bytes.size) {
                val granted = connection.acquireCredit(head.number, bytes.size - sent) ?: return false
                if (granted == 0) {
                    creditGranted.receive()
                    continue
                }
                val chunk = connection.answerPiece(head.number, bytes.copyOfRange(sent, sent + granted), last = false)
                write(chunk ?: return false)
                sent += granted
            }
            return true
        }

        override fun endResponse() {
            connection.answerPiece(head.number, ByteArray(0), last = true)?.let(::write)
        }
    }

    private companion object {
        val EXPIRY_MARGIN = 1.milliseconds
    }
}
