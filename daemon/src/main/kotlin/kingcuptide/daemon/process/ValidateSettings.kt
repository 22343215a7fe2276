package kingcuptide.daemon.process

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.isIpAddress
import java.net.URI
import java.net.URISyntaxException

/** Checks the range of each value and conflicts between values, and returns all faults. */
internal fun validateSettings(settings: DaemonSettings, fileName: String): List<SettingsFault> {
    val check = SettingsCheck(fileName)
    checkSelf(settings, check)
    checkTarget(settings.target, check)
    checkPlatform(settings.platform, check)
    checkTimes(settings, check)
    settings.seeds.forEachIndexed { index, seed -> checkSeed("seeds[$index]", seed, check) }
    checkPorts(settings, check)
    checkSeedsAgainst(settings, check)
    return check.faults
}

private fun checkSelf(settings: DaemonSettings, check: SettingsCheck) {
    check.name("host", settings.host.value)
    check.name("failureDomain", settings.failureDomain.value)
    check.name("region", settings.region.value)
    check.name("service", settings.service.value)
    check.address("ip", settings.ip)
    check.port("httpPort", settings.httpPort)
    check.port("peerPort", settings.peerPort)
    check.port("adminPort", settings.adminPort)
    check.range("maxEntryRequests", settings.maxEntryRequests.toLong(), 1L..100_000L)
    check.range("resendWindowMs", settings.resendWindowMs, 1_000L..3_600_000L)
    check.range("maxKeyedDeadlineMs", settings.maxKeyedDeadlineMs, 100L..600_000L)
}

private fun checkTarget(target: TargetSettings, check: SettingsCheck) {
    check.address("target.ip", target.ip)
    check.port("target.port", target.port)
    check.range("target.healthIntervalMs", target.healthIntervalMs, 50L..60_000L)
    if (!target.healthPath.startsWith('/')) check.outOfRange("target.healthPath", "must start with /")
}

private fun checkPlatform(platform: PlatformSettings, check: SettingsCheck) {
    check.name("platform.region", platform.region.value)
    check.range("platform.callTimeoutMs", platform.callTimeoutMs, 1L..60_000L)
    check.range("platform.callsPerSecondForAll", platform.callsPerSecondForAll.toLong(), 1L..100_000L)
    if (!isHttpUrl(platform.url)) check.outOfRange("platform.url", "must be a URL such as http://192.0.2.1:8500")
}

private fun isHttpUrl(text: String): Boolean =
    try {
        val url = URI(text)
        url.scheme in setOf("http", "https") && url.host != null && url.query == null && url.fragment == null
    } catch (_: URISyntaxException) {
        false
    }

private fun checkTimes(settings: DaemonSettings, check: SettingsCheck) {
    check.range("joinWaitMs", settings.joinWaitMs, 0L..60_000L)
    check.range("drainMs", settings.drainMs, 0L..600_000L)
    check.range("leaveNoticeMs", settings.leaveNoticeMs, 0L..60_000L)
}

private fun checkSeed(path: String, seed: SeedPeer, check: SettingsCheck) {
    check.name("$path.host", seed.host.value)
    check.name("$path.failureDomain", seed.failureDomain.value)
    check.name("$path.region", seed.region.value)
    check.address("$path.ip", seed.ip)
    check.port("$path.peerPort", seed.peerPort)
}

private fun checkPorts(settings: DaemonSettings, check: SettingsCheck) {
    val own =
        listOf("httpPort" to settings.httpPort, "peerPort" to settings.peerPort, "adminPort" to settings.adminPort)
    own.forEachIndexed { index, (path, port) ->
        val other = own.take(index).firstOrNull { it.second == port } ?: return@forEachIndexed
        check.conflict(path, "is the same port as ${other.first}")
    }
    if (settings.target.ip != settings.ip) return
    own.filter { it.second == settings.target.port }.forEach { (path, _) ->
        check.conflict("target.port", "is the same port as the daemon's $path")
    }
}

private fun checkSeedsAgainst(settings: DaemonSettings, check: SettingsCheck) {
    val self = with(settings) { SeedPeer(host, ip, peerPort, failureDomain, region) }
    val known = mutableListOf("the daemon itself" to self)
    settings.seeds.forEachIndexed { index, seed ->
        val path = "seeds[$index]"
        for ((name, other) in known) checkPair(path, seed, name, other, check)
        known += path to seed
    }
}

private fun checkPair(path: String, seed: SeedPeer, otherName: String, other: SeedPeer, check: SettingsCheck) {
    if (seed.host == other.host) check.conflict("$path.host", "duplicates the host of $otherName")
    if (seed.host != other.host && seed.ip == other.ip && seed.peerPort == other.peerPort) {
        check.conflict("$path.ip", "duplicates address and port of $otherName")
    }
    if (seed.failureDomain == other.failureDomain && seed.region != other.region) {
        check.conflict("$path.region", "$otherName has the same failure domain in region ${other.region}")
    }
}

/** Collects the faults of one file. */
private class SettingsCheck(
    private val fileName: String,
) {
    val faults = mutableListOf<SettingsFault>()

    fun outOfRange(path: String, reason: String) = add(ResultCode.SETTINGS_VALUE_OUT_OF_RANGE, path, reason)

    fun conflict(path: String, reason: String) = add(ResultCode.SETTINGS_CONFLICT, path, reason)

    fun range(path: String, value: Long, range: LongRange) {
        if (value !in range) outOfRange(path, "$value is outside ${range.first}..${range.last}")
    }

    fun port(path: String, port: Int) = range(path, port.toLong(), 1L..65_535L)

    fun name(path: String, name: String) {
        if (!NAME.matches(name)) outOfRange(path, "a name has 1 to 64 letters, digits, dots, dashes and underscores")
    }

    /** Rejects wildcard addresses: peers and callers connect to this address. */
    fun address(path: String, ip: String) {
        if (!isIpAddress(ip) || ip in WILDCARDS) outOfRange(path, "must be the IP address of one interface")
    }

    private fun add(code: ResultCode, path: String, reason: String) {
        faults += SettingsFault(code, fileName, path, reason)
    }

    private companion object {
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
        val WILDCARDS = setOf("0.0.0.0", "::")
    }
}
