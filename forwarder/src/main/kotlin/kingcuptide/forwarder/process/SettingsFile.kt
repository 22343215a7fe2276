package kingcuptide.forwarder.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.FaultTolerance
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.RetryAllowanceSettings
import kingcuptide.coordination.request.RevocationSettings
import kingcuptide.coordination.request.quota.QuotaPeer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.net.InetSocketAddress
import kotlin.math.floor
import kotlin.time.Duration

/**
 * Reads the settings of a forwarder from JSON with comments. Times are strings of a number and its unit, as `1500ms` or
 * `2.5s`; addresses are `ip:port`. Unknown fields are ignored, since newer settings may have more.
 */
fun readForwarderSettings(text: String): Result<ForwarderSettings, ForwarderSettingsFault> =
    try {
        Ok(settingsJson.decodeFromString(SettingsFile.serializer(), text).toSettings())
    } catch (exception: SerializationException) {
        Err(ForwarderSettingsFault(ResultCode.SETTINGS_UNREADABLE, exception.message.orEmpty().lineSequence().first()))
    } catch (exception: IllegalArgumentException) {
        Err(ForwarderSettingsFault(ResultCode.SETTINGS_VALUE_OUT_OF_RANGE, exception.message.orEmpty()))
    }

@Serializable
private data class SettingsFile(
    val host: String,
    val ip: String,
    val failureDomain: String,
    val region: String,
    val regionByFailureDomain: Map<String, String>,
    val service: String,
    val targetAddress: String,
    val callerAddress: String,
    val readinessAddress: String,
    val peerPort: Int,
    val sourceAddress: String,
    val isFirstStart: Boolean = false,
    val stopLimit: String,
    val coldRateFactor: Double,
    val coldSlack: Double,
    val retryRatio: Double,
    val extraRetries: Double,
    val retryWindow: String,
    val strictRevocation: Boolean = false,
    val revoke: String? = null,
    val cpuShare: Double? = null,
    val cpuCores: Double? = null,
    val toleratedFailureDomains: Int? = null,
    val toleratedRegions: Int? = null,
) {
    fun toSettings(): ForwarderSettings {
        require(peerPort in PORTS) { "peerPort: $peerPort is not a port from 1 to 65535" }
        require(coldRateFactor > 0 && coldRateFactor.isFinite()) {
            "coldRateFactor: $coldRateFactor is not a number greater than 0"
        }
        requireCount("coldSlack", coldSlack)
        requireCount("extraRetries", extraRetries)
        requireCount("retryRatio", retryRatio)
        addressOf("targetAddress", targetAddress)
        return ForwarderSettings(
            host = HostId(host),
            ip = ip,
            failureDomain = FailureDomainId(failureDomain),
            region = RegionId(region),
            regionByDomain = regionByFailureDomain.entries.associate { FailureDomainId(it.key) to RegionId(it.value) },
            service = ServiceId(service),
            targetAddress = targetAddress,
            callerAddress = addressOf("callerAddress", callerAddress),
            readinessAddress = addressOf("readinessAddress", readinessAddress),
            peerPort = peerPort,
            sourceAddress = addressOf("sourceAddress", sourceAddress),
            isFirstStart = isFirstStart,
            stopLimit = durationOf("stopLimit", stopLimit),
            coldRateFactor = coldRateFactor,
            coldSlack = coldSlack,
            retries = RetryAllowanceSettings(retryRatio, wholeRetries(), durationOf("retryWindow", retryWindow)),
            revocation = revocation(),
            cpuShare = cpuThousandths(),
            faultTolerance = faultTolerance(),
        )
    }

    private fun faultTolerance(): FaultTolerance {
        val usual = FaultTolerance()
        val failureDomains = toleratedFailureDomains ?: usual.failureDomains
        val regions = toleratedRegions ?: usual.regions
        requireCount("toleratedFailureDomains", failureDomains.toDouble())
        requireCount("toleratedRegions", regions.toDouble())
        return FaultTolerance(failureDomains, regions)
    }

    /** The process may use [cpuShare] of each of [cpuCores]; without both, it counts as one that has a whole core. */
    private fun cpuThousandths(): Int {
        if (cpuShare == null || cpuCores == null) return QuotaPeer.WHOLE_CORE
        requireCount("cpuShare", cpuShare)
        requireCount("cpuCores", cpuCores)
        return (cpuShare * cpuCores * QuotaPeer.WHOLE_CORE).coerceIn(1.0, MAX_COUNT.toDouble()).toInt()
    }

    private fun revocation(): RevocationSettings {
        val settings = RevocationSettings(isStrict = strictRevocation)
        return if (revoke == null) settings else settings.copy(maxPeerSilence = durationOf("revoke", revoke))
    }

    /** Rounds down, since a fraction of a retry can't be sent within the bound. */
    private fun wholeRetries(): Int = floor(extraRetries).toInt()

    private fun requireCount(field: String, value: Double) =
        require(value >= 0 && value <= MAX_COUNT) { "$field: $value is not a number from 0 to $MAX_COUNT" }

    private fun durationOf(field: String, value: String): Duration {
        val duration = Duration.parseOrNull(value)
        require(duration != null && duration.isPositive()) {
            "$field: \"$value\" is not a positive time such as 1500ms or 2.5s"
        }
        return duration
    }

    private fun addressOf(field: String, value: String): InetSocketAddress {
        val port = value.substringAfterLast(':', "").toIntOrNull()
        require(port != null && port in PORTS) { "$field: \"$value\" is not an address of the form ip:port" }
        return InetSocketAddress(value.substringBeforeLast(':'), port)
    }
}

private val PORTS = 1..65_535
private const val MAX_COUNT = 1_000_000_000

private val settingsJson =
    Json {
        allowComments = true
        allowTrailingComma = true
        ignoreUnknownKeys = true
    }
