package kingcuptide.coordination.connection

import kingcuptide.coordination.process.FailureDomainId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** Messages of a status query, which fans out along a tree of host groups and aggregates the replies. */
@Serializable
public sealed interface ConvergenceMessage : ControlMessage

/**
 * Requests the version of the receiver and of the hosts in [hostKeys].
 *
 * @property part number that the reply echoes; unique to one group of hosts and one attempt of the requester
 * @property budgetMs time within which the reply must arrive
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

/** Acknowledges the [StatusRequest] with [part]: the sender has begun to query its group. */
@Serializable
@SerialName("ca")
@CborArray
public data class StatusAccepted(
    val part: Int,
) : ConvergenceMessage

/**
 * Reply to the [StatusRequest] with [part].
 *
 * The counts of [rows], [unreachableTotal] and the size of [unresolved] add up to the number of hosts queried.
 *
 * @property unreachable short hashes of some of the hosts that did not reply
 * @property unresolved short hashes of the hosts that the sender does not know and therefore did not query
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

/** Number of hosts of [failureDomain] that have [version] in force, with some of them as [samples]. */
@Serializable
@CborArray
public data class StatusRow(
    val failureDomain: FailureDomainId,
    val version: Long,
    val count: Int,
    val samples: List<StatusSample>,
)

/** One host, and how long it has known of a newer version, or [NO_NEWER_VERSION_KNOWN]. */
@Serializable
@CborArray
public data class StatusSample(
    val hostKey: Int,
    val behindForMs: Long,
) {
    public companion object {
        /** Value of [behindForMs] of a host that knows of no version newer than its own. */
        public const val NO_NEWER_VERSION_KNOWN: Long = -1
    }
}
