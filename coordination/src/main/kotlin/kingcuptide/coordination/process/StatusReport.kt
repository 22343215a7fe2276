package kingcuptide.coordination.process

import kotlinx.serialization.Serializable

/**
 * What a daemon answers to `GET /v1/status`: which version is in force where, as the daemons themselves said.
 *
 * [counts] and [unreachableTotal] add up to [hostsTotal].
 *
 * @property answeredBy the daemon that asked the others
 * @property versionInForce the highest version that any daemon has in force; 0 if none has any
 * @property hostsTotal hosts on the host list of the daemon that asked
 * @property hostsInForce hosts that have [versionInForce] in force
 * @property laggards some of the hosts with an older version, those behind for longest first
 * @property laggardsTotal hosts that answered with an older version
 * @property unreachable some of the hosts that did not answer in time
 * @property confirmedAgeMs time since the source confirmed to [answeredBy], directly or through peers, that nothing newer
 *   exists; null if it never did
 * @property tookMs time that the query took
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
    /** Returns on how many hosts [version] or a later one is in force. */
    public fun hostsWithAtLeast(version: Long): Int = counts.filter { it.version >= version }.sumOf { it.hosts }
}

/** On how many hosts of [failureDomain] the version [version] is in force. */
@Serializable
public data class VersionCountReport(
    val failureDomain: FailureDomainId,
    val version: Long,
    val hosts: Int,
)

/**
 * A host with an older version.
 *
 * @property failureDomain null if the host list no longer has the host
 * @property behindForMs null if the host does not know of the newer version
 */
@Serializable
public data class LaggardReport(
    val host: HostId,
    val failureDomain: FailureDomainId?,
    val version: Long,
    val behindForMs: Long?,
)
