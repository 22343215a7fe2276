package kingcuptide.forwarder.process

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.FaultTolerance
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.RetryAllowanceSettings
import kingcuptide.coordination.request.RevocationSettings
import kingcuptide.coordination.request.quota.QuotaPeer
import java.net.InetSocketAddress
import kotlin.time.Duration

/**
 * The settings of one daemon.
 *
 * @property service service of the target beside this daemon
 * @property callerAddress where callers and the target beside this daemon send requests
 * @property peerPort port on which every daemon accepts connections from the others
 * @property isFirstStart whether the whole fleet starts for the first time, so that there is no traffic yet
 * @property cpuShare processor time that this process may use, in thousandths of a core
 * @property faultTolerance what may be lost at once while every daemon still gets changes in time
 * @property stopLimit longest time from the request to stop until the process ends
 */
data class ForwarderSettings(
    val host: HostId,
    val ip: String,
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val regionByDomain: Map<FailureDomainId, RegionId>,
    val service: ServiceId,
    val targetAddress: String,
    val callerAddress: InetSocketAddress,
    val readinessAddress: InetSocketAddress,
    val peerPort: Int,
    val sourceAddress: InetSocketAddress,
    val isFirstStart: Boolean,
    val stopLimit: Duration,
    val coldRateFactor: Double,
    val coldSlack: Double,
    val retries: RetryAllowanceSettings,
    val revocation: RevocationSettings = RevocationSettings(),
    val cpuShare: Int = QuotaPeer.WHOLE_CORE,
    val faultTolerance: FaultTolerance = FaultTolerance(),
) {
    /** Returns the settings that can't change while the process runs. */
    fun addresses(): List<Any> = listOf(ip, targetAddress, callerAddress, readinessAddress, peerPort, sourceAddress)
}

/**
 * Names of the headers that daemons, callers and targets exchange.
 *
 * @property authorization holds the API key of a request; no target gets it
 * @property workspace names the workspace of a request to its target
 */
data class HeaderNames(
    val requestId: String,
    val remainingMs: String,
    val callerService: String,
    val expectedTarget: String,
    val notRun: String,
    val targetSignature: String,
    val targetId: String,
    val coldMs: String,
    val rateLimit: String,
    val leaving: String,
    val authorization: String = "Authorization",
    val workspace: String = "Workspace",
)
