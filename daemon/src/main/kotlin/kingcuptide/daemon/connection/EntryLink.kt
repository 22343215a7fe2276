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
 * The entry daemon's side of one connection to a gate: writes what requests ask for, and hands each frame that comes
 * back to its request.
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
    private val stampRenewed = Channel<Unit>(Channel.CONFLATED)
    private lateinit var job: Job

    @Volatile
    private var closed = false

    val isOpen: Boolean get() = job.isActive

    /** Says hello and starts to read and write. */
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

    /** Starts [draft] on this connection. [body] has the pieces of the request's body, if there is one. */
    fun attempt(draft: HeadDraft, body: ReceiveChannel<ByteArray>?): Attempt {
        val number = connection.open().getOrElse { return FailedAttempt(it) }
        val call = PendingCall(number)
        calls[number] = call
        // Checked after the call is known and before its head is queued: a call that closing does not find is not sent.
        if (closed) {
            connection.abandon(number)
            forget(number)
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
            EntryDecision.TimestampRenewed -> stampRenewed.trySend(Unit)
            is EntryDecision.Answered -> calls[decision.number]?.answered(decision, ::consumed)
            is EntryDecision.ResponseBodyChunk -> passPiece(decision)
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

    private fun passPiece(piece: EntryDecision.ResponseBodyChunk) {
        val call = calls[piece.number] ?: return
        if (piece.bytes.isNotEmpty()) call.pieces.trySend(piece.bytes)
        if (!piece.last) return
        call.pieces.close()
        forget(piece.number)
    }

    private fun consumed(number: Long, bytes: Int) {
        connection.consumed(number, bytes)?.let { writes.trySend(Write.Frame(it)) }
    }

    private fun fail(failed: EntryDecision.Failed) {
        val call = forget(failed.number) ?: return
        val code = resultCodeOf(failed.code)
        call.pieces.close(AnswerBrokenException(code))
        val retryAfter = failed.retryAfterMs.takeIf { it > 0 }?.milliseconds
        call.head.complete(AttemptResult.Failed(code, failed.outcome, retryAfter, failed.load))
    }

    private fun fail(number: Long, code: ResultCode) {
        val outcome = connection.abandon(number)?.outcome ?: return
        fail(EntryDecision.Failed(number, code.number, outcome, retryAfterMs = 0, load = null, answerBegun = false))
    }

    private fun forget(number: Long): PendingCall? = calls.remove(number)?.also { it.bodyJob?.cancel() }

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
                    withTimeoutOrNull(STAMP_TIMEOUT) { stampRenewed.receive() }
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
            for (piece in body) sendPiece(call, piece)
            writes.trySend(Write.Frame(lastChunk(call.number)))
        } catch (_: BodyBrokenException) {
            call.abandon()
        }
    }

    private suspend fun sendPiece(call: PendingCall, piece: ByteArray) {
        var sent = 0
        while (sent < piece.size) {
            val granted = connection.acquireCredit(call.number, piece.size - sent) ?: return
            if (granted == 0) {
                call.creditGranted.receive()
                continue
            }
            writes.trySend(Write.Frame(chunk(call.number, piece.copyOfRange(sent, sent + granted))))
            sent += granted
        }
    }

    private inner class PendingCall(
        val number: Long,
    ) : Attempt {
        val head = kotlinx.coroutines.CompletableDeferred<AttemptResult>()
        val pieces = Channel<ByteArray>(Channel.UNLIMITED)
        val creditGranted = Channel<Unit>(Channel.CONFLATED)

        @Volatile
        var bodyJob: Job? = null

        fun answered(answer: EntryDecision.Answered, consumed: (Long, Int) -> Unit) {
            val body = AnswerBody(pieces) { bytes -> consumed(number, bytes) }
            head.complete(AttemptResult.Answered(answer.head.status, answer.head.headers, answer.head.load, body))
        }

        override suspend fun result(): AttemptResult = head.await()

        override fun abandon(): Outcome {
            val abandoned = connection.abandon(number)
            forget(number)
            abandoned?.cancel?.let { writes.trySend(Write.Frame(it)) }
            pieces.close(AnswerBrokenException(ResultCode.CANCELLED))
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
        val STAMP_TIMEOUT = 1.seconds
    }
}

/** An attempt that was refused before anything was sent. */
internal class FailedAttempt(
    private val code: ResultCode,
) : Attempt {
    override suspend fun result(): AttemptResult = AttemptResult.Failed(code, Outcome.NOT_RUN, null, null)

    override fun abandon(): Outcome = Outcome.NOT_RUN
}
