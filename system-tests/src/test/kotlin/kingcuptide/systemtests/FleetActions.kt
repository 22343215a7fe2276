package kingcuptide.systemtests

import kingcuptide.coordination.process.HostEntry
import kingcuptide.standins.fleet.LocalFleet

/** Returns the number of the version in force on [host], or null if it has none. */
internal fun LocalFleet.versionOn(host: HostEntry): Long? =
    Regex("version=(\\d+)").find(get(adminUrl(host, "/ready")).body())?.groupValues?.get(1)?.toLong()

internal fun LocalFleet.awaitVersion(version: Long, hosts: List<HostEntry> = shape.hosts) =
    await("version $version on ${hosts.map { it.host }}") { hosts.all { versionOn(it) == version } }

/** Returns the sum of the runs of the request [id] at the targets of [hosts]. */
internal fun LocalFleet.runsOf(id: String, hosts: List<HostEntry> = shape.hosts): Int =
    hosts.sumOf { get(targetUrl(it, "/control/runs/$id")).body().toInt() }

/** Returns the value of the first metric whose line starts with [name], which may have labels, or 0. */
internal fun LocalFleet.metric(host: HostEntry, name: String): Double =
    get(adminUrl(host, "/metrics"))
        .body()
        .lineSequence()
        .firstOrNull { it.startsWith(name) }
        ?.substringAfterLast(' ')
        ?.toDouble() ?: 0.0
