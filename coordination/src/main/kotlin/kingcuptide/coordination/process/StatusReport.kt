package kingcuptide.coordination.process

import kotlinx.serialization.Serializable

/**
 * Response to `GET /v1/status`: the version in force on each host, as reported by the daemons themselves.
 *
 * [counts] and [unreachableTotal] add up to [hostsTotal].
 *
 * @property answeredBy the daemon that queried the others
 * @property versionInForce the highest version that any daemon has in force; 0 if none has any
 * @property hostsTotal hosts on the host list of [answeredBy]
 * @property hostsInForce hosts that have [versionInForce] in force
 * @property laggards some of the hosts with an older version, longest behind first
 * @property laggardsTotal hosts that reported an older version
 * @property unreachable some of the hosts that did not reply in time
 * @property confirmedAgeMs time since the source confirmed to [answeredBy], directly or through peers, that nothing
 *   newer exists; null if it never did
 * @property tookMs duration of the query
 */
@Serializable
public data class StatusReport(
    val answeredBy: HostId,
    val versionInForce: Long,
    val hostsTotal: Int,
    val hostsInForce: Int,
    val counts: List<VersionCountReport>,
    val laggards: List<LaggardReport>,
    val laggardsTotal: Int,
    val unreachable: List<HostId>,
    val unreachableTotal: Int,
    val confirmedAgeMs: Long?,
    val tookMs: Long,
) {
    /** Returns the number of hosts on which [version] or a later one is in force. */
    public fun hostsWithAtLeast(version: Long): Int = counts.filter { it.version >= version }.sumOf { it.hosts }
}

/** Number of [hosts] of [failureDomain] on which [version] is in force. */
@Serializable
public data class VersionCountReport(
    val failureDomain: FailureDomainId,
    val version: Long,
    val hosts: Int,
)

/**
 * A host with an older version in force.
 *
 * @property failureDomain null if the host is no longer on the host list
 * @property behindForMs null if the host does not know of the newer version
 */
@Serializable
public data class LaggardReport(
    val host: HostId,
    val failureDomain: FailureDomainId?,
    val version: Long,
    val behindForMs: Long?,
)
