package kingcuptide.daemon.connection

import com.github.michaelbull.result.Result
import kingcuptide.coordination.connection.Header
import kingcuptide.coordination.connection.RequestHead
import kingcuptide.coordination.process.ResultCode
import kotlinx.coroutines.channels.ReceiveChannel
import kotlin.time.Duration

/** One accepted request at the gate, and the way back to its entry daemon. */
interface GateExchange {
    val head: RequestHead

    /** When the request must be answered or refused, by this process's clock. */
    val deadline: Duration

    /** The pieces of the request's body, or null if it has none. */
    val body: ReceiveChannel<ByteArray>?

    /** Tells the entry that it may send more of the body. */
    fun consumed(bytes: Int)

    /** Asks whether the first byte may go to the target at this moment. */
    fun beginForward(): Result<Unit, ResultCode>

    /** Says that after all no byte reached the target. */
    fun forwardUnsent()

    /** Ends the request with a final word instead of an answer. */
    fun refuse(code: ResultCode, retryAfter: Duration = Duration.ZERO)

    /** Begins the answer. */
    fun answerHead(status: Int, headers: List<Header>)

    /** Sends a piece of the answer; waits for the entry's credit. Returns false if nobody waits for the answer. */
    suspend fun answerPiece(bytes: ByteArray): Boolean

    /** Marks the answer as whole. */
    fun answerEnd()
}
