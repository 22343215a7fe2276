package kingcuptide.daemon.connection

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.connection.RequestFrame
import kingcuptide.coordination.process.ResultCode
import kotlinx.coroutines.channels.Channel

/** An in-process pipe, for requests whose target is on the same host as their entry. */
class MemoryPipe private constructor(
    private val outgoing: Channel<RequestFrame>,
    private val incoming: Channel<RequestFrame>,
) : FramePipe {
    override suspend fun write(frame: RequestFrame) {
        outgoing.trySend(frame)
    }

    override suspend fun flush() = Unit

    override suspend fun read(): Result<RequestFrame, ResultCode>? = incoming.receiveCatching().getOrNull()?.let {
        Ok(it)
    }

    override fun close() {
        outgoing.close()
        incoming.close()
    }

    companion object {
        /** Returns the two ends of a new pipe. Its buffers are bounded by credit, as on a connection. */
        fun pair(): Ends {
            val toGate = Channel<RequestFrame>(Channel.UNLIMITED)
            val toEntry = Channel<RequestFrame>(Channel.UNLIMITED)
            return Ends(entry = MemoryPipe(toGate, toEntry), gate = MemoryPipe(toEntry, toGate))
        }
    }

    /** The two ends of one pipe. */
    data class Ends(
        val entry: MemoryPipe,
        val gate: MemoryPipe,
    )
}
