package kingcuptide.daemon.connection

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import kingcuptide.coordination.connection.EntryConnection
import kingcuptide.coordination.connection.EntryDecision
import kingcuptide.coordination.connection.HeadDecision
import kingcuptide.coordination.connection.HeadDraft
import kingcuptide.coordination.connection.Hello
import kingcuptide.coordination.connection.RequestFrame
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The entry's side of one connection to a gate: writes the frames of requests and dispatches received frames to their
 * requests.
 */
class EntryLink(
    private val scope: CoroutineScope,
    private val pipe: FramePipe,
    private val connection: EntryConnection,
    private val hello: Hello,
    private val onFault: (ResultCode) -> Unit,
) {
    private val calls = ConcurrentHashMap<Long, PendingCall>()
    private val writes = Channel<Write>(Channel.UNLIMITED)
    private val timestampRenewed = Channel<Unit>(Channel.CONFLATED)
    private lateinit var job: Job

    @Volatile
    private var closed = false

    val isOpen: Boolean get() = job.isActive

    /** Sends the hello frame and starts to read and write. */
    fun start() {
        job =
            scope.launch {
                val writer = launch { runCatching { writeAll() }.onFailure { pipe.close() } }
                try {
                    readAll()
                } finally {
                    pipe.close()
                    writer.cancel()
                    closed = true
                    connection.close().forEach(::fail)
                }
            }
    }

    fun close() = pipe.close()

    /** Starts the request of [draft] on this connection. [body] holds the chunks of its body, or is null. */
    fun attempt(draft: HeadDraft, body: ReceiveChannel<ByteArray>?): Attempt {
        val number = connection.open().getOrElse { return FailedAttempt(it) }
        val call = PendingCall(number)
        calls[number] = call
        // Checked after the call is registered and before its head is queued: a call registered too late for the
        // closing to fail it is never sent.
        if (closed) {
            connection.abandon(number)
            removeCall(number)
            return FailedAttempt(ResultCode.PEER_UNREACHABLE)
        }
        writes.trySend(Write.Head(number, draft))
        if (body != null) call.bodyJob = scope.launch { sendBody(call, body) }
        return call
    }

    private suspend fun readAll() {
        while (true) {
            val frame = pipe.read() ?: return
            val decision = frame.onFailure(onFault).getOrElse { return }.let(connection::receive)
            if (!apply(decision)) return
        }
    }

    private fun apply(decision: EntryDecision): Boolean {
        when (decision) {
            EntryDecision.None -> Unit
            EntryDecision.TimestampRenewed -> timestampRenewed.trySend(Unit)
            is EntryDecision.Answered -> calls[decision.number]?.beginResponse(decision, ::consumed)
            is EntryDecision.ResponseBodyChunk -> deliverChunk(decision)
            is EntryDecision.Failed -> fail(decision)
            is EntryDecision.CreditGranted -> calls[decision.number]?.creditGranted?.trySend(Unit)
            is EntryDecision.Dropped -> onFault(decision.code)
            is EntryDecision.CloseConnection -> {
                onFault(decision.code)
                return false
            }
        }
        return true
    }

    private fun deliverChunk(chunk: EntryDecision.ResponseBodyChunk) {
        val call = calls[chunk.number] ?: return
        if (chunk.bytes.isNotEmpty()) call.chunks.trySend(chunk.bytes)
        if (!chunk.last) return
        call.chunks.close()
        removeCall(chunk.number)
    }

    private fun consumed(number: Long, bytes: Int) {
        connection.consumed(number, bytes)?.let { writes.trySend(Write.Frame(it)) }
    }

    private fun fail(failed: EntryDecision.Failed) {
        val call = removeCall(failed.number) ?: return
        val code = resultCodeOf(failed.code)
        call.chunks.close(IncompleteResponseException(code))
        val retryAfter = failed.retryAfterMs.takeIf { it > 0 }?.milliseconds
        call.head.complete(AttemptResult.Failed(code, failed.outcome, retryAfter, failed.load))
    }

    private fun fail(number: Long, code: ResultCode) {
        val outcome = connection.abandon(number)?.outcome ?: return
        fail(EntryDecision.Failed(number, code.number, outcome, retryAfterMs = 0, load = null, answerBegun = false))
    }

    private fun removeCall(number: Long): PendingCall? = calls.remove(number)?.also { it.bodyJob?.cancel() }

    private suspend fun writeAll() {
        pipe.write(hello)
        pipe.flush()
        for (write in writes) {
            write(write)
            while (true) write(writes.tryReceive().getOrNull() ?: break)
            pipe.flush()
        }
    }

    private suspend fun write(write: Write) {
        when (write) {
            is Write.Frame -> pipe.write(write.frame)
            is Write.Head -> writeHead(write)
        }
    }

    private suspend fun writeHead(write: Write.Head) {
        while (true) {
            when (val decision = connection.headToWrite(write.number, write.draft)) {
                is HeadDecision.Write -> return pipe.write(decision.head)
                is HeadDecision.Refused -> return refuseHead(write.number, decision.code)
                is HeadDecision.AwaitTimestamp -> {
                    decision.request?.let { pipe.write(it) }
                    pipe.flush()
                    withTimeoutOrNull(TIMESTAMP_TIMEOUT) { timestampRenewed.receive() }
                        ?: return fail(write.number, ResultCode.PEER_UNREACHABLE)
                }
            }
        }
    }

    private fun refuseHead(number: Long, code: ResultCode) {
        connection.abandon(number)
        fail(
            EntryDecision.Failed(
                number,
                code.number,
                Outcome.NOT_RUN,
                retryAfterMs = 0,
                load = null,
                answerBegun = false,
            ),
        )
    }

    private suspend fun sendBody(call: PendingCall, body: ReceiveChannel<ByteArray>) {
        try {
            for (chunk in body) sendChunk(call, chunk)
            writes.trySend(Write.Frame(lastBodyChunk(call.number)))
        } catch (_: IncompleteRequestException) {
            call.abandon()
        }
    }

    private suspend fun sendChunk(call: PendingCall, chunk: ByteArray) {
        var sent = 0
        while (sent < chunk.size) {
            val granted = connection.acquireCredit(call.number, chunk.size - sent) ?: return
            if (granted == 0) {
                call.creditGranted.receive()
                continue
            }
            writes.trySend(Write.Frame(bodyChunk(call.number, chunk.copyOfRange(sent, sent + granted))))
            sent += granted
        }
    }

    private inner class PendingCall(
        val number: Long,
    ) : Attempt {
        val head = kotlinx.coroutines.CompletableDeferred<AttemptResult>()
        val chunks = Channel<ByteArray>(Channel.UNLIMITED)
        val creditGranted = Channel<Unit>(Channel.CONFLATED)

        @Volatile
        var bodyJob: Job? = null

        fun beginResponse(response: EntryDecision.Answered, consumed: (Long, Int) -> Unit) {
            val body = ResponseBody(chunks) { bytes -> consumed(number, bytes) }
            head.complete(AttemptResult.Answered(response.head.status, response.head.headers, response.head.load, body))
        }

        override suspend fun result(): AttemptResult = head.await()

        override fun abandon(): Outcome {
            val abandoned = connection.abandon(number)
            removeCall(number)
            abandoned?.cancel?.let { writes.trySend(Write.Frame(it)) }
            chunks.close(IncompleteResponseException(ResultCode.CANCELLED))
            head.complete(AttemptResult.Failed(ResultCode.CANCELLED, abandoned?.outcome ?: Outcome.UNKNOWN, null, null))
            return abandoned?.outcome ?: Outcome.UNKNOWN
        }
    }

    private sealed interface Write {
        data class Frame(
            val frame: RequestFrame,
        ) : Write

        data class Head(
            val number: Long,
            val draft: HeadDraft,
        ) : Write
    }

    private companion object {
        val TIMESTAMP_TIMEOUT = 1.seconds
    }
}

/** An attempt that failed before anything was sent. */
internal class FailedAttempt(
    private val code: ResultCode,
) : Attempt {
    override suspend fun result(): AttemptResult = AttemptResult.Failed(code, Outcome.NOT_RUN, null, null)

    override fun abandon(): Outcome = Outcome.NOT_RUN
}
