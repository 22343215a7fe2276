package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.request.Outcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** A frame on a request connection between an entry daemon and a gate, in either direction. */
@Serializable
public sealed interface RequestFrame

/** First frame of each side. A peer with another protocol version is refused. */
@Serializable
@SerialName("hello")
public data class Hello(
    val protocolVersion: Int,
    val host: HostId,
    val incarnation: Incarnation,
) : RequestFrame

/** A reading of the gate's clock, from which the entry estimates that clock. */
@Serializable
@SerialName("stamp")
public data class GateTimestamp(
    val valueMs: Long,
) : RequestFrame

/** Requests a fresh [GateTimestamp]; sent by an entry whose newest one is too old to estimate from. */
@Serializable
@SerialName("stamp-request")
public data object GateTimestampRequest : RequestFrame

/** One HTTP header line. */
@Serializable
public data class Header(
    @SerialName("n") val name: String,
    @SerialName("v") val value: String,
)

/**
 * The start of a request.
 *
 * @property number unique on the connection
 * @property gateTimestampMs the entry's estimate of the gate's clock at the moment of sending: the newest
 *   [GateTimestamp] plus the time since it arrived. It leads the gate's clock by at most the drift of the two clocks,
 *   so the gate can tell how long the frame was delayed
 * @property remainingMs remaining time until the deadline, at the moment of sending
 * @property version number of the document by which the entry chose this target
 * @property keyHash digest of workspace, route and idempotency key, or null if the caller sent no key
 * @property hasBody whether [BodyChunk] frames follow
 * @property suspect whether a target crashed during an earlier attempt of this request
 */
@Serializable
@SerialName("request")
public data class RequestHead(
    @SerialName("n") val number: Long,
    @SerialName("s") val gateTimestampMs: Long,
    @SerialName("d") val remainingMs: Long,
    @SerialName("v") val version: Long,
    @SerialName("r") val route: RouteId,
    @SerialName("t") val workspace: WorkspaceId?,
    @SerialName("m") val method: String,
    @SerialName("p") val pathAndQuery: String,
    @SerialName("h") val headers: List<Header>,
    @SerialName("i") val idempotent: Boolean,
    @SerialName("k") val keyHash: String?,
    @SerialName("b") val hasBody: Boolean,
    @SerialName("x") val suspect: Boolean = false,
) : RequestFrame

/** A chunk of a request or response body; the final one has [last] set and may be empty. */
@Serializable
@SerialName("body")
public data class BodyChunk(
    @SerialName("n") val number: Long,
    @SerialName("b") @ByteString val bytes: ByteArray,
    @SerialName("l") val last: Boolean,
) : RequestFrame {
    override fun equals(other: Any?): Boolean =
        other is BodyChunk && number == other.number && last == other.last && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = 31 * number.hashCode() + bytes.contentHashCode()
}

/** Grants the peer credit to send [bytes] more of this request's body or response. */
@Serializable
@SerialName("window")
public data class Window(
    @SerialName("n") val number: Long,
    @SerialName("b") val bytes: Int,
) : RequestFrame

/** Current load of the gate, which the entry uses to choose targets. */
@Serializable
public data class GateLoad(
    @SerialName("f") val inFlight: Int,
    @SerialName("l") val limit: Int,
    @SerialName("q") val queued: Int,
)

/** The start of the target's response. */
@Serializable
@SerialName("answer")
public data class ResponseHead(
    @SerialName("n") val number: Long,
    @SerialName("s") val status: Int,
    @SerialName("h") val headers: List<Header>,
    @SerialName("l") val load: GateLoad,
) : RequestFrame

/** The gate's final decision in place of a response. [code] is the number of a result code. */
@Serializable
@SerialName("refusal")
public data class Refusal(
    @SerialName("n") val number: Long,
    @SerialName("c") val code: Int,
    @SerialName("o") val outcome: Outcome,
    @SerialName("a") val retryAfterMs: Long,
    @SerialName("l") val load: GateLoad,
) : RequestFrame

/** The response was aborted after its head was sent. [code] is the number of a result code. */
@Serializable
@SerialName("abort")
public data class ResponseAbort(
    val number: Long,
    val code: Int,
) : RequestFrame

/** Cancels request [number]. If it has not started, it must not start afterwards. */
@Serializable
@SerialName("cancel")
public data class Cancel(
    val number: Long,
) : RequestFrame
