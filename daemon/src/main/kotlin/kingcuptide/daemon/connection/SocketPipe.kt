package kingcuptide.daemon.connection

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.ClosedByteChannelException
import io.ktor.utils.io.writeFully
import kingcuptide.coordination.connection.FrameCodec
import kingcuptide.coordination.connection.RequestFrame
import kingcuptide.coordination.process.ResultCode
import kotlinx.io.EOFException
import kotlinx.io.IOException

/** A pipe over a TCP connection. A frame that exceeds the size limit is dropped and reported to [onFault]. */
class SocketPipe(
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val codec: FrameCodec,
    private val onFault: (ResultCode) -> Unit,
) : FramePipe {
    override suspend fun write(frame: RequestFrame) {
        codec
            .encode(frame)
            .onSuccess { output.writeFully(it) }
            .onFailure(onFault)
    }

    override suspend fun flush() = output.flush()

    override suspend fun read(): Result<RequestFrame, ResultCode>? =
        try {
            input.readPayload(codec).flatMap(codec::decodeRequestFrame)
        } catch (_: EOFException) {
            null
        } catch (_: ClosedByteChannelException) {
            null
        } catch (_: IOException) {
            null
        }

    override fun close() = socket.close()
}
