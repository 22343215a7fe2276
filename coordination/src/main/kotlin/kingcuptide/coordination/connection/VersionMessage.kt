package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.ResourceVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Version control messages. */
@Serializable
public sealed interface VersionMessage : ControlMessage

/**
 * One resource version that the sender holds.
 *
 * @property confirmedAgeMs time since the source last confirmed that nothing newer exists, or null if never confirmed
 * @property holders witnesses that are known to hold this version; at most four
 */
@Serializable
public data class OfferedVersion(
    @SerialName("k") val kind: ResourceKind,
    @SerialName("v") val version: ResourceVersion,
    @SerialName("a") val confirmedAgeMs: Long? = null,
    @SerialName("h") val holders: List<HostId> = emptyList(),
)

/**
 * Names the versions that the sender holds, so that a receiver that is behind can ask for them.
 *
 * @property acknowledge whether the receiver shall answer with [VersionAck] once it holds the version
 */
@Serializable
@SerialName("vo")
public data class VersionOffer(
    @SerialName("o") val offered: List<OfferedVersion>,
    @SerialName("q") val acknowledge: Boolean = false,
) : VersionMessage

/** Asks the holder of [target] for it, as a difference from [base] where the holder can. */
@Serializable
@SerialName("vw")
public data class PayloadRequest(
    @SerialName("k") val kind: ResourceKind,
    @SerialName("t") val target: ResourceVersion,
    @SerialName("b") val base: ResourceVersion? = null,
) : VersionMessage

/** Carries the content of a version, encoded by the payload codec: whole if [base] is null, else as a difference. */
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

/** Refuses a [PayloadRequest]: the holder sends too much at the moment. The receiver may ask again after [retryAfterMs]. */
@Serializable
@SerialName("vb")
public data class SenderBusy(
    @SerialName("k") val kind: ResourceKind,
    @SerialName("r") val retryAfterMs: Long,
) : VersionMessage

/** Says that the sender holds the bytes of [version] in memory. */
@Serializable
@SerialName("vh")
public data class VersionAck(
    @SerialName("k") val kind: ResourceKind,
    @SerialName("v") val version: ResourceVersion,
) : VersionMessage

/**
 * Asks which versions a peer knows, at a restart or after a pause.
 *
 * @property nonce returned by the answer, so that an answer to an earlier question is told apart
 * @property seenNumber the greatest document number that the sender has heard of, in force somewhere
 */
@Serializable
@SerialName("vq")
public data class VersionQuery(
    @SerialName("n") val nonce: Long,
    @SerialName("s") val seenNumber: Long? = null,
) : VersionMessage

/**
 * Answers a [VersionQuery].
 *
 * @property joined whether the sender has itself made sure of the newest version; if not, its word counts for nothing
 *   but as a hint
 * @property seenNumber the greatest document number that the sender holds, in force or not, or has heard to be in force
 */
@Serializable
@SerialName("va")
public data class VersionReply(
    @SerialName("n") val nonce: Long,
    @SerialName("j") val joined: Boolean,
    @SerialName("s") val seenNumber: Long? = null,
    @SerialName("o") val offered: List<OfferedVersion> = emptyList(),
) : VersionMessage
