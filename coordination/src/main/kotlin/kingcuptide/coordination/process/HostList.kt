package kingcuptide.coordination.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a host according to the platform, which may be outdated. */
@Serializable
public enum class HostState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/** One host of the fleet: its addresses, its location and the service of its target. */
@Serializable
public data class HostEntry(
    val host: HostId,
    val ip: String,
    val peerPort: Int,
    val httpPort: Int,
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val service: ServiceId,
    val state: HostState = HostState.LIVE,
)

/** The platform's list of hosts. A later list has a higher [revision]. */
@Serializable
public data class HostList(
    val revision: Long,
    val hosts: List<HostEntry>,
)
