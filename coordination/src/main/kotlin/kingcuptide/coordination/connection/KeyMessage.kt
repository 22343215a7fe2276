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

/** Names one claim for ever: no two claims of the fleet are equal. */
@Serializable
public data class ClaimId(
    @SerialName("h") val gate: HostId,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("n") val sequence: Long,
)

/**
 * A gate asks a witness to let this claim, and no other, run the key.
 *
 * @property witnesses the key's witnesses as the gate sees them, by slot; null where a slot has no host
 * @property homeRegions the regions that the request may touch; empty means any
 * @property remainingMs time left until the request's deadline
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

/** The witness lets the claim run the key, and refuses all others for the whole window. */
@Serializable
@SerialName("key-grant")
public data class KeyGrant(
    @SerialName("k") override val keyHash: String,
    @SerialName("c") override val claim: ClaimId,
) : KeyMessage

/** Why a witness does not grant a claim. */
@Serializable
public enum class KeyRefusalReason {
    /** Another claim holds the key; it may have run. */
    @SerialName("held")
    HELD,

    /** The witness cannot know of earlier claims yet. */
    @SerialName("young")
    TOO_YOUNG,

    /** Witness and gate do not agree on the key's witnesses. */
    @SerialName("view")
    VIEW_DIFFERS,

    /** The witness's view of the fleet was not confirmed recently. */
    @SerialName("unconfirmed")
    VIEW_UNCONFIRMED,

    /** The witness remembers as many claims as it may. */
    @SerialName("full")
    FULL,

    /** The claim was released before, or its deadline is out of bounds. */
    @SerialName("invalid")
    INVALID,
}

/**
 * The witness does not grant the claim.
 *
 * @property status the HTTP status of the run that holds the key, or null if it is not known
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

/** The run of the claim ended with an answer of [status]. */
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
