package kingcuptide.coordination.connection

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * Membership control messages.
 *
 * Each carries what its sender says of itself, and a bounded number of updates about others. Encoded, each fits a
 * datagram of [MAX_MEMBERSHIP_MESSAGE_BYTES].
 */
@Serializable
public sealed interface MembershipMessage : ControlMessage {
    /** What the sender says of itself. */
    public val sender: SenderState

    /** What the sender believes of other hosts. */
    public val updates: List<MemberUpdate>
}

/** Greatest encoded size of a membership message, so that it fits one datagram on common links. */
public const val MAX_MEMBERSHIP_MESSAGE_BYTES: Int = 1_200

/**
 * What a daemon says of itself.
 *
 * @property incarnation its run, raised when it finds that others took it for dead
 * @property revision counts what it announced within the incarnation; a refuted suspicion raises it
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
 * What the sender of a message believes of one host.
 *
 * @property hostKey short hash of the host's name; a receiver that knows no such host ignores the update
 * @property incarnationOffset the host's incarnation less the sender's own, which is shorter than the number itself
 * @property revision the announcement that this belief is about
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

/** Bits of a member's state on the wire. A state without [SUSPECT] and [DEAD] is alive. */
public object MemberFlags {
    /** The host missed its probes. */
    public const val SUSPECT: Int = 1

    /** The host missed its probes and did not refute the suspicion in time. */
    public const val DEAD: Int = 2

    /** The host announced that it stops. */
    public const val LEAVING: Int = 4

    /** The host's target is in cold start. */
    public const val COLD: Int = 8

    /** The host raised its incarnation without a restart, since others took it for dead. */
    public const val RETURNED: Int = 16
}

/** Asks the receiver to answer with a [ProbeAck] of the same [sequence]. */
@Serializable
@SerialName("mp")
@CborArray
public data class Probe(
    override val sender: SenderState,
    val sequence: Int,
    override val updates: List<MemberUpdate> = emptyList(),
) : MembershipMessage

/** Answers a [Probe]. */
@Serializable
@SerialName("ma")
@CborArray
public data class ProbeAck(
    override val sender: SenderState,
    val sequence: Int,
    override val updates: List<MemberUpdate> = emptyList(),
) : MembershipMessage

/** Asks the receiver to probe the host with [targetKey], and to report an answer as [IndirectAck]. */
@Serializable
@SerialName("mi")
@CborArray
public data class IndirectProbe(
    override val sender: SenderState,
    val sequence: Int,
    val targetKey: Int,
    override val updates: List<MemberUpdate> = emptyList(),
) : MembershipMessage

/** Reports that the target of the [IndirectProbe] with [sequence] answered; [updates] has the target's own state. */
@Serializable
@SerialName("mj")
@CborArray
public data class IndirectAck(
    override val sender: SenderState,
    val sequence: Int,
    override val updates: List<MemberUpdate> = emptyList(),
) : MembershipMessage

/** Carries fresh updates to a random peer. */
@Serializable
@SerialName("mg")
@CborArray
public data class Gossip(
    override val sender: SenderState,
    override val updates: List<MemberUpdate>,
) : MembershipMessage

/** Asks for the members of every bucket in which the receiver's table differs from [bucketHashes]. */
@Serializable
@SerialName("ms")
@CborArray
public data class SyncRequest(
    override val sender: SenderState,
    val bucketHashes: List<Int>,
    override val updates: List<MemberUpdate> = emptyList(),
) : MembershipMessage

/** Answers a [SyncRequest]; a large answer is several messages. Its updates are not spread any further. */
@Serializable
@SerialName("mt")
@CborArray
public data class SyncReply(
    override val sender: SenderState,
    override val updates: List<MemberUpdate>,
) : MembershipMessage
