package kingcuptide.coordination.version

import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.isIpAddress

/** Checks every value of [hostList] and returns all faults; an empty list means that it may be used. */
public fun validateHostList(hostList: HostList): List<DocumentFault> {
    val collector = FaultCollector()
    collector.requireRange("revision", hostList.revision, 1..Long.MAX_VALUE)
    hostList.hosts.forEachIndexed { index, host -> validateHost("hosts[$index]", host, collector) }
    val repeated = hostList.hosts.groupBy { it.host }.filterValues { it.size > 1 }
    for (host in repeated.keys) {
        collector.outOfRange("hosts", "host $host is listed ${repeated.getValue(host).size} times")
    }
    return collector.faults
}

/**
 * Compares [document] with [hostList] and returns, as warnings, the routes and workspaces without a live target where
 * their requests must run, and the hosts whose region differs from the document.
 *
 * A host list lags behind the actual state of the fleet, so nothing in it is a reason to reject a document.
 */
public fun validateAgainstHosts(document: ConfigDocument, hostList: HostList): List<DocumentFault> {
    val targets = LiveTargets(hostList)
    return routeWarnings(document, targets) + workspaceWarnings(document, targets) + hostWarnings(document, hostList)
}

private fun validateHost(path: String, host: HostEntry, collector: FaultCollector) {
    collector.requireName("$path.host", host.host.value)
    collector.requireName("$path.failureDomain", host.failureDomain.value)
    collector.requireName("$path.region", host.region.value)
    collector.requireName("$path.service", host.service.value)
    collector.requireRange("$path.peerPort", host.peerPort, PORT_RANGE)
    collector.requireRange("$path.httpPort", host.httpPort, PORT_RANGE)
    if (!isIpAddress(host.ip)) collector.outOfRange("$path.ip", "not an IP address")
}

private fun routeWarnings(document: ConfigDocument, targets: LiveTargets): List<DocumentFault> =
    document.routes.flatMap { (id, route) ->
        val regions = targets.regionsOf(route.service)
        when {
            route.homeRegions.isNotEmpty() -> (route.homeRegions - regions).map { region ->
                noTarget("routes.$id.homeRegions", "service ${route.service} has no live target in region $region")
            }
            regions.isEmpty() -> listOf(noTarget("routes.$id.service", "service ${route.service} has no live target"))
            else -> emptyList()
        }
    }

private fun workspaceWarnings(document: ConfigDocument, targets: LiveTargets): List<DocumentFault> {
    val unservedByHome = mutableMapOf<Set<RegionId>, List<String>>()
    return document.workspaces.mapNotNull { (id, workspace) ->
        val home = workspace.homeRegions
        val unserved = unservedByHome.getOrPut(home) { unservedRoutes(document, home, targets) }
        if (unserved.isEmpty()) return@mapNotNull null
        noTarget(
            "workspaces.$id.homeRegions",
            "no live target in the home regions for routes ${unserved.joinToString()}",
        )
    }
}

/** Routes that have no live target in the regions that both the route and a workspace with [home] allow. */
private fun unservedRoutes(document: ConfigDocument, home: Set<RegionId>, targets: LiveTargets): List<String> {
    if (home.isEmpty()) return emptyList()
    return document.routes
        .filterValues { route ->
            val allowed = if (route.homeRegions.isEmpty()) home else home intersect route.homeRegions
            allowed.isNotEmpty() && targets.regionsOf(route.service).none { it in allowed }
        }.keys
        .map { it.value }
}

private fun hostWarnings(document: ConfigDocument, hostList: HostList): List<DocumentFault> =
    hostList.hosts.mapNotNull { host ->
        val domain = document.failureDomains[host.failureDomain]
        val reason =
            when {
                domain == null -> "failure domain ${host.failureDomain} is not in the document"
                domain.region != host.region ->
                    "the host list puts it in region ${host.region}, the document in ${domain.region}"
                else -> return@mapNotNull null
            }
        DocumentFault(ResultCode.DOCUMENT_BROKEN_REFERENCE, "hosts.${host.host}", reason, Severity.WARNING)
    }

private fun noTarget(path: String, reason: String): DocumentFault =
    DocumentFault(ResultCode.NO_TARGET_IN_HOME_REGION, path, reason, Severity.WARNING)

private val PORT_RANGE = 1..65_535
