package kingcuptide.coordination.connection

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * Membership control messages.
 *
 * Each carries the sender's own state and a bounded number of updates about other hosts. Encoded, each fits a datagram
 * of [MAX_MEMBERSHIP_MESSAGE_BYTES].
 */
@Serializable
public sealed interface MembershipMessage : ControlMessage {
    /** The sender's own state. */
    public val sender: SenderState

    /** States of other hosts as known to the sender. */
    public val updates: List<MemberUpdate>
}

/** Maximum encoded size of a membership message, so that it fits one datagram on common links. */
public const val MAX_MEMBERSHIP_MESSAGE_BYTES: Int = 1_200

/**
 * State that a daemon announces about itself.
 *
 * @property incarnation number of the daemon's run; raised when it learns that others declared it dead
 * @property revision number of the announcement within the incarnation; refuting a suspicion raises it
 * @property flags see [MemberFlags]
 */
@Serializable
@CborArray
public data class SenderState(
    val incarnation: Long,
    val revision: Int,
    val flags: Int,
)

/**
 * State of one host as known to the sender of a message.
 *
 * @property hostKey short hash of the host name; ignored by a receiver that does not know the host
 * @property incarnationOffset the host's incarnation minus the sender's own, which encodes shorter than the number
 * @property revision the host's announcement that this state refers to
 * @property flags see [MemberFlags]
 */
@Serializable
@CborArray
public data class MemberUpdate(
    val hostKey: Int,
    val incarnationOffset: Long,
    val revision: Int,
    val flags: Int,
)

/** Flag bits of a member's state on the wire. Neither [SUSPECT] nor [DEAD] set means alive. */
public object MemberFlags {
    /** The host did not answer its probes. */
    public const val SUSPECT: Int = 1

    /** The host did not answer its probes and did not refute the suspicion in time. */
    public const val DEAD: Int = 2

    /** The host announced its planned stop. */
    public const val LEAVING: Int = 4

    /** The host's target is in cold start. */
    public const val COLD: Int = 8

    /** The host raised its incarnation without a restart, because others had declared it dead. */
    public const val REJOINED: Int = 16
}

/** Requests a [ProbeAck] with the same [sequence]. */
@Serializable
@SerialName("mp")
@CborArray
public data class Probe(
    override val sender: SenderState,
    val sequence: Int,
    override val updates: List<MemberUpdate> = emptyList(),
) : MembershipMessage

/** Reply to a [Probe]. */
@Serializable
@SerialName("ma")
@CborArray
public data class ProbeAck(
    override val sender: SenderState,
    val sequence: Int,
    override val updates: List<MemberUpdate> = emptyList(),
) : MembershipMessage

/** Requests that the receiver probe the host with [probedHostKey] and report its ack as [IndirectAck]. */
@Serializable
@SerialName("mi")
@CborArray
public data class IndirectProbe(
    override val sender: SenderState,
    val sequence: Int,
    @SerialName("targetKey") val probedHostKey: Int,
    override val updates: List<MemberUpdate> = emptyList(),
) : MembershipMessage

/** Reports that the host probed for the [IndirectProbe] with [sequence] replied; [updates] has that host's state. */
@Serializable
@SerialName("mj")
@CborArray
public data class IndirectAck(
    override val sender: SenderState,
    val sequence: Int,
    override val updates: List<MemberUpdate> = emptyList(),
) : MembershipMessage

/** Disseminates recent updates to a random peer. */
@Serializable
@SerialName("mg")
@CborArray
public data class Gossip(
    override val sender: SenderState,
    override val updates: List<MemberUpdate>,
) : MembershipMessage

/** Requests the members of every bucket whose hash at the receiver differs from [bucketHashes]. */
@Serializable
@SerialName("ms")
@CborArray
public data class SyncRequest(
    override val sender: SenderState,
    val bucketHashes: List<Int>,
    override val updates: List<MemberUpdate> = emptyList(),
) : MembershipMessage

/** Reply to a [SyncRequest], in several messages if it is large. The receiver does not gossip its updates further. */
@Serializable
@SerialName("mt")
@CborArray
public data class SyncReply(
    override val sender: SenderState,
    override val updates: List<MemberUpdate>,
) : MembershipMessage
