package kingcuptide.daemon.connection

import kingcuptide.coordination.connection.GateLoad
import kingcuptide.coordination.connection.Header
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kotlinx.coroutines.channels.ReceiveChannel
import kotlin.time.Duration

/** One try of a request at one gate. */
interface Attempt {
    /** Waits for the start of the answer, or for its failure. */
    suspend fun result(): AttemptResult

    /** Gives the attempt up, tells the gate, and returns what is known of the request. */
    fun abandon(): Outcome
}

/** What an attempt came to. */
sealed interface AttemptResult {
    /** The target answers. */
    data class Answered(
        val status: Int,
        val headers: List<Header>,
        val load: GateLoad?,
        val body: AnswerBody,
    ) : AttemptResult

    /** No answer. [outcome] says whether the request may have run there. */
    data class Failed(
        val code: ResultCode,
        val outcome: Outcome,
        val retryAfter: Duration?,
        val load: GateLoad?,
    ) : AttemptResult
}

/**
 * The pieces of an answer's body.
 *
 * [pieces] ends normally only when the answer is whole; otherwise it fails with an [AnswerBrokenException]. [consumed]
 * tells the gate that it may send more.
 */
class AnswerBody(
    val pieces: ReceiveChannel<ByteArray>,
    val consumed: (Int) -> Unit,
)

/** The answer's body broke off; what came before is not the whole answer. */
class AnswerBrokenException(
    val code: ResultCode,
) : Exception(code.name)

/** Returns the code with [number], or [ResultCode.ANSWER_LOST] for a number of a later release. */
internal fun resultCodeOf(number: Int): ResultCode = codesByNumber[number] ?: ResultCode.ANSWER_LOST

private val codesByNumber = ResultCode.entries.associateBy { it.number }
