package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.ResultCode
import kotlin.time.Duration

/** What the gate does after a frame from the entry, or when time passed. */
public sealed interface GateDecision {
    /** Nothing: the frame only changed what the connection knows. */
    public data object None : GateDecision

    /** The peer is known: write [gateTimestamp] at once. */
    public data class Established(
        val host: HostId,
        val incarnation: Incarnation,
        val gateTimestamp: GateTimestamp,
    ) : GateDecision

    /** Write [frames]; nothing else changes. */
    public data class Write(
        val frames: List<RequestFrame>,
    ) : GateDecision

    /** Request [head] may be admitted. It must be answered or refused by [deadline] of this gate's clock. */
    public data class Accepted(
        val head: RequestHead,
        val deadline: Duration,
    ) : GateDecision

    /** The next piece of the body of request [number]. */
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

    /** More of the answer of request [number] may be sent. */
    public data class CreditGranted(
        val number: Long,
    ) : GateDecision

    /** Nobody waits for request [number]. If not [forwarded] it has not run and cannot start; free what it holds. */
    public data class Cancelled(
        val number: Long,
        val forwarded: Boolean,
    ) : GateDecision

    /** The deadline of request [number] passed: write [frames], stop the call if [forwarded], free what it holds. */
    public data class Expired(
        val number: Long,
        val forwarded: Boolean,
        val frames: List<RequestFrame>,
    ) : GateDecision

    /** The frame belongs to no request in flight and was dropped. */
    public data class Dropped(
        val code: ResultCode,
    ) : GateDecision

    /** The peer broke the protocol: close the connection, and call [GateConnection.close]. */
    public data class CloseConnection(
        val code: ResultCode,
    ) : GateDecision
}
