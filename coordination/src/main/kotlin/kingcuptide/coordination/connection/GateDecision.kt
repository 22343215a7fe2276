package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.ResultCode
import kotlin.time.Duration

/** What the gate has to do after a frame from the entry, or when a deadline has passed. */
public sealed interface GateDecision {
    /** Nothing: the frame only updated the state of the connection. */
    public data object None : GateDecision

    /** The peer has identified itself: write [gateTimestamp] immediately. */
    public data class Established(
        val host: HostId,
        val incarnation: Incarnation,
        val gateTimestamp: GateTimestamp,
    ) : GateDecision

    /** Write [frames]; nothing else changes. */
    public data class Write(
        val frames: List<RequestFrame>,
    ) : GateDecision

    /** Request [head] may be admitted. It must be answered or refused by [deadline] on this gate's clock. */
    public data class Accepted(
        val head: RequestHead,
        val deadline: Duration,
    ) : GateDecision

    /** The next chunk of the body of request [number]. */
    public data class RequestBodyChunk(
        val number: Long,
        val bytes: ByteArray,
        val last: Boolean,
    ) : GateDecision {
        override fun equals(other: Any?): Boolean =
            other is RequestBodyChunk &&
                number == other.number &&
                last == other.last &&
                bytes.contentEquals(other.bytes)

        override fun hashCode(): Int = 31 * number.hashCode() + bytes.contentHashCode()
    }

    /** More of the response to request [number] may be sent. */
    public data class CreditGranted(
        val number: Long,
    ) : GateDecision

    /** Request [number] was cancelled. If not [forwarded], it has not run and cannot start. Release its resources. */
    public data class Cancelled(
        val number: Long,
        val forwarded: Boolean,
    ) : GateDecision

    /** Request [number] has expired: write [frames], abort the call if [forwarded], and release its resources. */
    public data class Expired(
        val number: Long,
        val forwarded: Boolean,
        val frames: List<RequestFrame>,
    ) : GateDecision

    /** The frame belongs to no request in flight and was dropped. */
    public data class Dropped(
        val code: ResultCode,
    ) : GateDecision

    /** The peer violated the protocol: close the connection and call [GateConnection.close]. */
    public data class CloseConnection(
        val code: ResultCode,
    ) : GateDecision
}
