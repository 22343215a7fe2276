package kingcuptide.daemon.request

import kingcuptide.coordination.connection.GateLoad
import kingcuptide.coordination.connection.Header
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kotlinx.coroutines.channels.ReceiveChannel
import kotlin.time.Duration

/** What an attempt at one target came to. */
sealed interface AttemptResult {
    /**
     * The target answers.
     *
     * [body] ends normally only when the answer is whole; otherwise it is closed with an [AnswerBrokenException].
     */
    data class Answered(
        val status: Int,
        val headers: List<Header>,
        val load: GateLoad?,
        val body: ReceiveChannel<ByteArray>,
    ) : AttemptResult

    /** No answer. [outcome] says whether the request may have run there. */
    data class Failed(
        val code: ResultCode,
        val outcome: Outcome,
        val retryAfter: Duration?,
        val load: GateLoad?,
    ) : AttemptResult
}

/** The answer's body broke off; what came before is not the whole answer. */
class AnswerBrokenException(
    val code: ResultCode,
) : Exception(code.name)
