package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.RegionId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Messages by which a gate claims an idempotency key from the key's witnesses. */
@Serializable
public sealed interface KeyMessage : ControlMessage {
    /** Digest of workspace, route and idempotency key. */
    public val keyHash: String

    /** The claim that the message belongs to. */
    public val claim: ClaimId
}

/** Identifies one claim; unique in the fleet and never reused. */
@Serializable
public data class ClaimId(
    @SerialName("h") val gate: HostId,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("n") val sequence: Long,
)

/**
 * A gate requests from a witness the exclusive right of this claim to run the key.
 *
 * @property witnesses the key's witnesses by slot, as known to the gate; null where a slot has no host
 * @property homeRegions the regions that may process the request; empty means any
 * @property remainingMs remaining time until the request's deadline
 */
@Serializable
@SerialName("key-claim")
public data class KeyClaim(
    @SerialName("k") override val keyHash: String,
    @SerialName("c") override val claim: ClaimId,
    @SerialName("w") val witnesses: List<HostId?>,
    @SerialName("r") val homeRegions: Set<RegionId>,
    @SerialName("t") val remainingMs: Long,
) : KeyMessage

/** The witness grants the key to the claim, and refuses all other claims for the whole window. */
@Serializable
@SerialName("key-grant")
public data class KeyGrant(
    @SerialName("k") override val keyHash: String,
    @SerialName("c") override val claim: ClaimId,
) : KeyMessage

/** Why a witness does not grant a claim. */
@Serializable
public enum class KeyRefusalReason {
    /** The key is granted to another claim, which may have run. */
    @SerialName("held")
    HELD,

    /** The witness started too recently to know of earlier claims. */
    @SerialName("young")
    TOO_YOUNG,

    /** Witness and gate disagree on the key's witnesses. */
    @SerialName("view")
    VIEW_DIFFERS,

    /** The witness's view of the fleet was not confirmed recently. */
    @SerialName("unconfirmed")
    VIEW_UNCONFIRMED,

    /** The witness already stores its maximum number of claims. */
    @SerialName("full")
    FULL,

    /** The claim was released before, or its deadline is out of bounds. */
    @SerialName("invalid")
    INVALID,
}

/**
 * The witness does not grant the claim.
 *
 * @property status the HTTP status of the run that the key was granted to, or null if unknown
 */
@Serializable
@SerialName("key-refusal")
public data class KeyRefusal(
    @SerialName("k") override val keyHash: String,
    @SerialName("c") override val claim: ClaimId,
    @SerialName("e") val reason: KeyRefusalReason,
    @SerialName("a") val retryAfterMs: Long = 0,
    @SerialName("s") val status: Int? = null,
) : KeyMessage

/** The run of the claim completed with a response of HTTP [status]. */
@Serializable
@SerialName("key-completed")
public data class KeyCompleted(
    @SerialName("k") override val keyHash: String,
    @SerialName("c") override val claim: ClaimId,
    @SerialName("s") val status: Int,
) : KeyMessage

/** The claim did not run and never will; the key is free for another claim. */
@Serializable
@SerialName("key-release")
public data class KeyRelease(
    @SerialName("k") override val keyHash: String,
    @SerialName("c") override val claim: ClaimId,
) : KeyMessage
