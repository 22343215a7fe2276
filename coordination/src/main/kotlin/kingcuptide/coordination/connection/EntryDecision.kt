package kingcuptide.coordination.connection

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome

/** What the entry has to do after a frame from the gate. */
public sealed interface EntryDecision {
    /** Nothing: the frame only updated the state of the connection. */
    public data object None : EntryDecision

    /** A fresh gate timestamp arrived: heads that waited for one can be written. */
    public data object TimestampRenewed : EntryDecision

    /** The response to request [number] begins. */
    public data class Answered(
        val number: Long,
        val head: ResponseHead,
    ) : EntryDecision

    /** The next chunk of the response to request [number]; [last] completes the response and ends the request. */
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

    /** Request [number] ended without a complete response; one that had begun must reach the caller as truncated. */
    public data class Failed(
        val number: Long,
        val code: Int,
        val outcome: Outcome,
        val retryAfterMs: Long,
        val load: GateLoad?,
        val answerBegun: Boolean,
    ) : EntryDecision

    /** More of the body of request [number] may be sent. */
    public data class CreditGranted(
        val number: Long,
    ) : EntryDecision

    /** The frame belongs to no request in flight and was dropped. */
    public data class Dropped(
        val code: ResultCode,
    ) : EntryDecision

    /** The peer violated the protocol: close the connection and call [EntryConnection.close]. */
    public data class CloseConnection(
        val code: ResultCode,
    ) : EntryDecision
}
