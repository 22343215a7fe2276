package kingcuptide.coordination.version

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId

/**
 * Checks every value and reference of [document] and returns all faults; an empty list means that it may be put in
 * force.
 *
 * What an operator may do on purpose, such as taking out every failure domain, is not a fault; [documentWarnings]
 * reports it.
 */
public fun validateDocument(document: ConfigDocument): List<DocumentFault> {
    val collector = FaultCollector()
    collector.requireRange("version", document.version, 1..Long.MAX_VALUE)
    validateFailureDomains(document, collector)
    validateServices(document, collector)
    document.routes.forEach { (id, route) -> validateRoute(id, route, document, collector) }
    validatePrefixes(document.routes, collector)
    validateWorkspaces(document, collector)
    validateLimits(document.limits, collector)
    return collector.faults
}

private fun validateFailureDomains(document: ConfigDocument, collector: FaultCollector) {
    for ((id, domain) in document.failureDomains) {
        collector.requireName("failureDomains.$id", id.value)
        collector.requireName("failureDomains.$id.region", domain.region.value)
    }
    for (id in document.takenOutFailureDomains - document.failureDomains.keys) {
        collector.brokenReference("takenOutFailureDomains", "failure domain $id is not in failureDomains")
    }
}

private fun validateServices(document: ConfigDocument, collector: FaultCollector) {
    for ((id, service) in document.services) {
        val path = "services.$id"
        collector.requireName(path, id.value)
        collector.requireRange("$path.slots", service.slots, DocumentRanges.SLOTS)
        collector.requireRange("$path.maxConnections", service.maxConnections, DocumentRanges.MAX_CONNECTIONS)
        collector.requireRange("$path.coldSlots", service.coldSlots, 1..maxOf(1, service.slots))
        collector.requireRange("$path.coldStartMs", service.coldStartMs, DocumentRanges.COLD_START_MS, "ms")
        collector.requireRange("$path.queueLength", service.queueLength, DocumentRanges.QUEUE_LENGTH)
    }
}

private fun validateRoute(id: RouteId, route: RouteSpec, document: ConfigDocument, collector: FaultCollector) {
    val path = "routes.$id"
    collector.requireName(path, id.value)
    if (route.service !in document.services) {
        collector.brokenReference("$path.service", "service ${route.service} is not in services")
    }
    validatePrefix("$path.pathPrefix", route.pathPrefix, collector)
    validateMethods("$path.methods", route.methods, collector)
    validateMethods("$path.nonRepeatableMethods", route.nonRepeatableMethods, collector)
    collector.requireRange("$path.timeoutMs", route.timeoutMs, DocumentRanges.TIMEOUT_MS, "ms")
    collector.requireRange("$path.maxBodyBytes", route.maxBodyBytes, DocumentRanges.MAX_BODY_BYTES, "bytes")
    collector.requireRange("$path.maxRetries", route.maxRetries, DocumentRanges.MAX_RETRIES)
    collector.requireRange(
        "$path.retryBudgetPercent",
        route.retryBudgetPercent,
        DocumentRanges.RETRY_BUDGET_PERCENT,
        "percent",
    )
    validateHomeRegions("$path.homeRegions", route.homeRegions, document.regions(), collector)
}

private fun validatePrefix(path: String, prefix: String, collector: FaultCollector) {
    val reason =
        when {
            !prefix.startsWith('/') -> "must start with /"
            prefix.length > DocumentRanges.PATH_PREFIX_LENGTH.last -> "is over 1024 characters long"
            prefix == "/" -> return
            segmentsOf(prefix) == null || !PATH_PREFIX.matches(prefix) ->
                "must be / or path segments without empty or dot segments, escapes, query or trailing slash"
            else -> return
        }
    collector.outOfRange(path, reason)
}

private fun validateMethods(path: String, methods: Set<String>, collector: FaultCollector) {
    for (method in methods.filterNot { METHOD.matches(it) }) {
        collector.outOfRange(path, "${method.take(MAX_SHOWN_METHOD_LENGTH)} is not an upper-case HTTP method")
    }
}

private fun validateHomeRegions(
    path: String,
    homeRegions: Set<RegionId>,
    known: Set<RegionId>,
    collector: FaultCollector,
) {
    for (region in homeRegions - known) {
        collector.brokenReference(path, "no failure domain is in region $region")
    }
}

private fun validatePrefixes(routes: Map<RouteId, RouteSpec>, collector: FaultCollector) {
    val samePrefix = routes.entries.groupBy { it.value.pathPrefix }.values
    for (group in samePrefix) {
        val ordered = group.sortedBy { it.key.value }
        ordered.forEachIndexed { index, (id, route) ->
            val other = ordered.take(index).firstOrNull { overlap(it.value.methods, route.methods) }
            if (other != null) collector.add(duplicatePrefix(id, other.key))
        }
    }
}

private fun overlap(first: Set<String>, second: Set<String>): Boolean =
    first.isEmpty() || second.isEmpty() || first.any { it in second }

private fun duplicatePrefix(id: RouteId, other: RouteId): DocumentFault = DocumentFault(
    code = ResultCode.DUPLICATE_PATH_PREFIX,
    path = "routes.$id.pathPrefix",
    reason = "route $other has the same prefix for a method of this route",
)

private fun validateWorkspaces(document: ConfigDocument, collector: FaultCollector) {
    val known = document.regions()
    for ((id, workspace) in document.workspaces) {
        collector.requireName("workspaces.$id", id.value)
        validateHomeRegions("workspaces.$id.homeRegions", workspace.homeRegions, known, collector)
    }
}

private fun validateLimits(limits: FleetLimits, collector: FaultCollector) {
    collector.requireRange("limits.quarantineMs", limits.quarantineMs, DocumentRanges.QUARANTINE_MS, "ms")
}

/** Returns the regions of the failure domains; the document lists regions nowhere else. */
internal fun ConfigDocument.regions(): Set<RegionId> = failureDomains.values.mapTo(mutableSetOf()) { it.region }

private val METHOD = Regex("[A-Z][A-Z0-9-]{0,31}")
private val PATH_PREFIX = Regex("(/[A-Za-z0-9._~!$&'()*+,=:@-]+)+")
private const val MAX_SHOWN_METHOD_LENGTH = 40
