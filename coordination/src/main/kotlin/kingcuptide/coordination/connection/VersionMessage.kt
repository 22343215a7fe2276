package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.ResourceVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Control messages that distribute versions of resources. */
@Serializable
public sealed interface VersionMessage : ControlMessage

/**
 * A resource version that the sender stores.
 *
 * @property confirmedAgeMs time since the source last confirmed that nothing newer exists, or null if it never did
 * @property holders witnesses that are known to store this version; at most four
 */
@Serializable
public data class OfferedVersion(
    @SerialName("k") val kind: ResourceKind,
    @SerialName("v") val version: ResourceVersion,
    @SerialName("a") val confirmedAgeMs: Long? = null,
    @SerialName("h") val holders: List<HostId> = emptyList(),
)

/**
 * Advertises the versions that the sender stores, so that a receiver that is behind can request them.
 *
 * @property acknowledge whether the receiver must reply with [VersionAck] once it stores the version
 */
@Serializable
@SerialName("vo")
public data class VersionOffer(
    @SerialName("o") val offered: List<OfferedVersion>,
    @SerialName("q") val acknowledge: Boolean = false,
) : VersionMessage

/** Requests the content of version [target], as a delta from [base] if the receiver can compute it. */
@Serializable
@SerialName("vw")
public data class PayloadRequest(
    @SerialName("k") val kind: ResourceKind,
    @SerialName("t") val target: ResourceVersion,
    @SerialName("b") val base: ResourceVersion? = null,
) : VersionMessage

/** Content of a version, encoded by the payload codec: complete if [base] is null, otherwise a delta from it. */
@Serializable
@SerialName("vp")
public data class VersionPayload(
    @SerialName("o") val offered: OfferedVersion,
    @SerialName("b") val base: ResourceVersion?,
    @ByteString
    @SerialName("p") val bytes: ByteArray,
) : VersionMessage {
    override fun equals(other: Any?): Boolean =
        other is VersionPayload && offered == other.offered && base == other.base && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = 31 * offered.hashCode() + bytes.contentHashCode()
}

/** Refuses a [PayloadRequest] because the sender is at its transfer limit. Retry after [retryAfterMs]. */
@Serializable
@SerialName("vb")
public data class SenderBusy(
    @SerialName("k") val kind: ResourceKind,
    @SerialName("r") val retryAfterMs: Long,
) : VersionMessage

/** Acknowledges that the sender has the content of [version] in memory. */
@Serializable
@SerialName("vh")
public data class VersionAck(
    @SerialName("k") val kind: ResourceKind,
    @SerialName("v") val version: ResourceVersion,
) : VersionMessage

/**
 * Requests the versions that a peer knows, after a restart or a process pause.
 *
 * @property nonce echoed by the reply, to tell it from a reply to an earlier query
 * @property seenNumber the highest document number that the sender knows to be in force anywhere
 */
@Serializable
@SerialName("vq")
public data class VersionQuery(
    @SerialName("n") val nonce: Long,
    @SerialName("s") val seenNumber: Long? = null,
) : VersionMessage

/**
 * Reply to a [VersionQuery].
 *
 * @property joined whether the sender has itself established the newest version; if not, its reply is only a hint
 * @property seenNumber the highest document number that the sender stores, in force or not, or knows to be in force
 */
@Serializable
@SerialName("va")
public data class VersionReply(
    @SerialName("n") val nonce: Long,
    @SerialName("j") val joined: Boolean,
    @SerialName("s") val seenNumber: Long? = null,
    @SerialName("o") val offered: List<OfferedVersion> = emptyList(),
) : VersionMessage
