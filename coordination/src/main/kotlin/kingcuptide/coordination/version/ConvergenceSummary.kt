package kingcuptide.coordination.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kotlinx.serialization.Serializable

/**
 * Versions in force across the fleet, as the daemons reported them within [tookMs] milliseconds.
 *
 * [rows] and [unreachableTotal] add up to [hosts]: no host is counted twice.
 *
 * @property newestVersion the highest version that any daemon reported; 0 if none has any
 * @property inForce on how many hosts [newestVersion] is in force
 * @property hosts number of hosts on the host list of the daemon that ran the query
 * @property behind some of the hosts with an older version, those behind for longest first
 * @property behindTotal number of hosts that reported an older version
 * @property unreachable some of the hosts that did not reply in time
 */
@Serializable
public data class ConvergenceSummary(
    val newestVersion: Long,
    val inForce: Int,
    val hosts: Int,
    val rows: List<VersionCount>,
    val behind: List<HostBehind>,
    val behindTotal: Int,
    val unreachable: List<HostId>,
    val unreachableTotal: Int,
    val tookMs: Long,
)

/** How many hosts of [failureDomain] have [version] in force. */
@Serializable
public data class VersionCount(
    val failureDomain: FailureDomainId,
    val version: Long,
    val count: Int,
)

/** A host with an older version; [behindForMs] is null if it does not know of the newer one. */
@Serializable
public data class HostBehind(
    val host: HostId,
    val version: Long,
    val behindForMs: Long?,
)

/** The version in force on this daemon; [number] is 0 before its first version. */
public data class LocalVersion(
    val number: Long,
    val behindForMs: Long? = null,
)
