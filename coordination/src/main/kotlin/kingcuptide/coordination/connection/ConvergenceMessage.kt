package kingcuptide.coordination.connection

import kingcuptide.coordination.process.FailureDomainId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** Messages of a status query, which is scattered along a tree of host groups and summed up on the way back. */
@Serializable
public sealed interface ConvergenceMessage : ControlMessage

/**
 * Asks the receiver for its own version, and for those of the hosts in [hostKeys].
 *
 * @property part number that the answer repeats; the asker uses each for one group of hosts and one attempt
 * @property budgetMs time in which the answer has to arrive
 * @property hostKeys short hashes of the names of the other hosts of the group
 */
@Serializable
@SerialName("cq")
@CborArray
public data class StatusRequest(
    val part: Int,
    val budgetMs: Int,
    val hostKeys: List<Int> = emptyList(),
) : ConvergenceMessage

/** Says that the sender has begun to ask the group of the [StatusRequest] with [part]. */
@Serializable
@SerialName("ca")
@CborArray
public data class StatusAccepted(
    val part: Int,
) : ConvergenceMessage

/**
 * Answers the [StatusRequest] with [part].
 *
 * The counts of [rows], [unreachableTotal] and the size of [unresolved] add up to the number of hosts asked for.
 *
 * @property unreachable some of the hosts that did not answer
 * @property unresolved hosts of the group that the sender does not know, and so did not ask
 */
@Serializable
@SerialName("cr")
@CborArray
public data class StatusReply(
    val part: Int,
    val rows: List<StatusRow>,
    val unreachableTotal: Int = 0,
    val unreachable: List<Int> = emptyList(),
    val unresolved: List<Int> = emptyList(),
) : ConvergenceMessage

/** How many hosts of [failureDomain] have [version] in force, with some of them as [samples]. */
@Serializable
@CborArray
public data class StatusRow(
    val failureDomain: FailureDomainId,
    val version: Long,
    val count: Int,
    val samples: List<StatusSample>,
)

/** One host, and for how long it has known that it is behind; [NO_NEWER_VERSION_KNOWN] if it does not know of a newer version. */
@Serializable
@CborArray
public data class StatusSample(
    val hostKey: Int,
    val behindForMs: Long,
) {
    public companion object {
        /** The host knows of no version newer than its own. */
        public const val NO_NEWER_VERSION_KNOWN: Long = -1
    }
}
