package kingcuptide.daemon.connection

import com.github.michaelbull.result.Result
import kingcuptide.coordination.connection.Header
import kingcuptide.coordination.connection.RequestHead
import kingcuptide.coordination.process.ResultCode
import kotlinx.coroutines.channels.ReceiveChannel
import kotlin.time.Duration

/** One accepted request at the gate, with its response stream to the entry. */
interface GateExchange {
    val head: RequestHead

    /** Time on this process's clock by which the request must be completed or refused. */
    val deadline: Duration

    /** The chunks of the request's body, or null if it has none. */
    val body: ReceiveChannel<ByteArray>?

    /** Grants the entry credit for [bytes] more of the body. */
    fun consumed(bytes: Int)

    /** Marks the request as being forwarded; fails if it must no longer reach the target. */
    fun beginForward(): Result<Unit, ResultCode>

    /** Records that no byte reached the target after [beginForward]. */
    fun forwardUnsent()

    /** Ends the request with a result code instead of a response. */
    fun refuse(code: ResultCode, retryAfter: Duration = Duration.ZERO)

    /** Sends the head of the response. */
    fun beginResponse(status: Int, headers: List<Header>)

    /** Sends part of the response body when the entry grants credit; returns false if the entry no longer waits. */
    suspend fun sendResponseChunk(bytes: ByteArray): Boolean

    /** Marks the response as complete. */
    fun endResponse()
}
