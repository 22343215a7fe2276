package kingcuptide.daemon.connection

import kingcuptide.coordination.connection.GateLoad
import kingcuptide.coordination.connection.Header
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kotlinx.coroutines.channels.ReceiveChannel
import kotlin.time.Duration

/** One attempt of a request at one gate. */
interface Attempt {
    /** Waits for the head of the response, or for the failure of the attempt. */
    suspend fun result(): AttemptResult

    /** Cancels the attempt, also at the gate, and returns whether the request may have run. */
    fun abandon(): Outcome
}

/** Result of an attempt. */
sealed interface AttemptResult {
    /** The target has begun to respond. */
    data class Answered(
        val status: Int,
        val headers: List<Header>,
        val load: GateLoad?,
        val body: ResponseBody,
    ) : AttemptResult

    /** No response. [outcome] tells whether the request may have run at the target. */
    data class Failed(
        val code: ResultCode,
        val outcome: Outcome,
        val retryAfter: Duration?,
        val load: GateLoad?,
    ) : AttemptResult
}

/**
 * The body of a response.
 *
 * [chunks] closes normally only when the response is complete; otherwise it fails with an
 * [IncompleteResponseException]. [consumed] grants the gate credit for as many more bytes.
 */
class ResponseBody(
    val chunks: ReceiveChannel<ByteArray>,
    val consumed: (Int) -> Unit,
)

/** The response body ended before it was complete. */
class IncompleteResponseException(
    val code: ResultCode,
) : Exception(code.name)

/** Returns the code with [number], or [ResultCode.ANSWER_LOST] if only a later release knows it. */
internal fun resultCodeOf(number: Int): ResultCode = codesByNumber[number] ?: ResultCode.ANSWER_LOST

private val codesByNumber = ResultCode.entries.associateBy { it.number }
