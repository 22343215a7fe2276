package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.request.Outcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** A frame on a request connection: from the entry daemon to the daemon beside a target, or back. */
@Serializable
public sealed interface RequestFrame

/** First frame of each side. A peer of another protocol version is refused. */
@Serializable
@SerialName("hello")
public data class Hello(
    val protocolVersion: Int,
    val host: HostId,
    val incarnation: Incarnation,
) : RequestFrame

/** A reading of the gate's own clock, from which the entry estimates that clock later on. */
@Serializable
@SerialName("stamp")
public data class GateTimestamp(
    val valueMs: Long,
) : RequestFrame

/** Asks the gate for a fresh [GateTimestamp]; sent by an entry whose newest one is too old to estimate from. */
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
 * @property number never used twice on one connection
 * @property gateTimestampMs the gate's clock at the moment of sending, as the entry estimates it: the newest [GateTimestamp] plus the
 *   time since it arrived. It is never ahead of the gate's clock by more than the drift of the two, so a frame that
 *   waited anywhere shows its age
 * @property remainingMs time left until the deadline, at the moment of sending
 * @property version number of the document under which the entry chose this target
 * @property keyHash digest of workspace, route and idempotency key, or null if the caller sent no key
 * @property hasBody whether [BodyChunk] frames follow
 * @property suspect whether a target died with an earlier attempt of this request
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

/** A piece of the request's or the answer's body; the last one has [last] set and may be empty. */
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

/** Allows the other side to send [bytes] more of this request's body or answer. */
@Serializable
@SerialName("window")
public data class Window(
    @SerialName("n") val number: Long,
    @SerialName("b") val bytes: Int,
) : RequestFrame

/** How much the gate has in hand, for the entry's next choices. */
@Serializable
public data class GateLoad(
    @SerialName("f") val inFlight: Int,
    @SerialName("l") val limit: Int,
    @SerialName("q") val queued: Int,
)

/** The start of the target's answer. */
@Serializable
@SerialName("answer")
public data class ResponseHead(
    @SerialName("n") val number: Long,
    @SerialName("s") val status: Int,
    @SerialName("h") val headers: List<Header>,
    @SerialName("l") val load: GateLoad,
) : RequestFrame

/** The gate's own final word instead of an answer. [code] is the number of a result code. */
@Serializable
@SerialName("refusal")
public data class Refusal(
    @SerialName("n") val number: Long,
    @SerialName("c") val code: Int,
    @SerialName("o") val outcome: Outcome,
    @SerialName("a") val retryAfterMs: Long,
    @SerialName("l") val load: GateLoad,
) : RequestFrame

/** The answer broke off after its head was sent. */
@Serializable
@SerialName("abort")
public data class ResponseAbort(
    val number: Long,
    val code: Int,
) : RequestFrame

/** The entry no longer wants the answer. A request that has not started must not start afterwards. */
@Serializable
@SerialName("cancel")
public data class Cancel(
    val number: Long,
) : RequestFrame
