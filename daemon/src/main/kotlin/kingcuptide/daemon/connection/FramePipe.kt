package kingcuptide.daemon.connection

import com.github.michaelbull.result.Result
import kingcuptide.coordination.connection.RequestFrame
import kingcuptide.coordination.process.ResultCode

/** Ordered, bidirectional transport of request frames between an entry and a gate. */
interface FramePipe {
    /** Buffers [frame] for sending; may suspend until there is room. */
    suspend fun write(frame: RequestFrame)

    /** Sends the buffered frames. */
    suspend fun flush()

    /** Returns the next frame, or the code of a malformed one; null once the other side has closed. */
    suspend fun read(): Result<RequestFrame, ResultCode>?

    fun close()
}
