package kingcuptide.daemon.process

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The settings file of a daemon. A daemon stores no other state across restarts. Fields named `...Ms` are in ms. */
@Serializable
data class DaemonSettings(
    val host: HostId,
    val ip: String,
    val httpPort: Int,
    val peerPort: Int,
    val adminPort: Int,
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val service: ServiceId,
    val target: TargetSettings,
    val platform: PlatformSettings,
    val seeds: List<SeedPeer> = emptyList(),
    val joinWaitMs: Long = 3_000,
    val drainMs: Long = 10_000,
    val leaveNoticeMs: Long = 1_000,
    val maxEntryRequests: Int = 512,
    val resendWindowMs: Long = 120_000,
    val maxKeyedDeadlineMs: Long = 30_000,
    val logLevel: LogLevel = LogLevel.INFO,
)

/** Lowest severity that is logged. */
@Serializable
enum class LogLevel {
    @SerialName("debug")
    DEBUG,

    @SerialName("info")
    INFO,

    @SerialName("warn")
    WARN,
}

/** Address and health check of the target on this host. */
@Serializable
data class TargetSettings(
    val ip: String,
    val port: Int,
    val healthPath: String = "/health",
    val healthIntervalMs: Long = 1_000,
)

/** The platform's configuration service; [callsPerSecondForAll] limits the call rate of all daemons together. */
@Serializable
data class PlatformSettings(
    val url: String,
    val region: RegionId,
    val callsPerSecondForAll: Int = 2_000,
    val callTimeoutMs: Long = 5_000,
)

/** A peer known before the first host list. */
@Serializable
data class SeedPeer(
    val host: HostId,
    val ip: String,
    val peerPort: Int,
    val failureDomain: FailureDomainId,
    val region: RegionId,
)
