package kingcuptide.coordination.connection

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome

/** What the entry does after a frame from the gate. */
public sealed interface EntryDecision {
    /** Nothing: the frame only changed what the connection knows. */
    public data object None : EntryDecision

    /** A fresh stamp arrived: heads that waited for one can be written. */
    public data object TimestampRenewed : EntryDecision

    /** The answer of request [number] begins. */
    public data class Answered(
        val number: Long,
        val head: ResponseHead,
    ) : EntryDecision

    /** The next piece of the answer of request [number]. With [last] set the answer is whole and the request over. */
    public data class ResponseBodyChunk(
        val number: Long,
        val bytes: ByteArray,
        val last: Boolean,
    ) : EntryDecision {
        override fun equals(other: Any?): Boolean =
            other is ResponseBodyChunk &&
                number == other.number &&
                last == other.last &&
                bytes.contentEquals(other.bytes)

        override fun hashCode(): Int = 31 * number.hashCode() + bytes.contentHashCode()
    }

    /** Request [number] is over without a whole answer; if an answer had begun, it must be shown as cut off. */
    public data class Failed(
        val number: Long,
        val code: Int,
        val outcome: Outcome,
        val retryAfterMs: Long,
        val load: GateLoad?,
        val answerBegun: Boolean,
    ) : EntryDecision

    /** More of request [number]'s body may be sent. */
    public data class CreditGranted(
        val number: Long,
    ) : EntryDecision

    /** The frame belongs to no request in flight and was dropped. */
    public data class Dropped(
        val code: ResultCode,
    ) : EntryDecision

    /** The peer broke the protocol: close the connection, and call [EntryConnection.close]. */
    public data class CloseConnection(
        val code: ResultCode,
    ) : EntryDecision
}
