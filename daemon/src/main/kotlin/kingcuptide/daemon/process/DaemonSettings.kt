package kingcuptide.daemon.process

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Everything that a daemon is told at its start. A restarted daemon knows nothing else. */
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

/** The least severe events that are logged. */
@Serializable
enum class LogLevel {
    @SerialName("debug")
    DEBUG,

    @SerialName("info")
    INFO,

    @SerialName("warn")
    WARN,
}

/** Where the target of this host listens. */
@Serializable
data class TargetSettings(
    val ip: String,
    val port: Int,
    val healthPath: String = "/health",
    val healthIntervalMs: Long = 1_000,
)

/** Where the platform's configuration service listens, and what it bears from all daemons together. */
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
