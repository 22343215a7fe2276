package kingcuptide.daemon.connection

import com.github.michaelbull.result.Result
import kingcuptide.coordination.connection.RequestFrame
import kingcuptide.coordination.process.ResultCode

/** Carries request frames in order, both ways, between an entry daemon and a gate. */
interface FramePipe {
    /** Buffers [frame] for sending; may wait for room. */
    suspend fun write(frame: RequestFrame)

    /** Sends what is buffered. */
    suspend fun flush()

    /** Returns the next frame, or why there is none; null once the other side has closed. */
    suspend fun read(): Result<RequestFrame, ResultCode>?

    fun close()
}
