package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.process.WorkspaceId
import kotlinx.serialization.builtins.ListSerializer

/**
 * Returns this document in canonical form: one entry for each failure domain, service, route and workspace, one for the
 * failure domains taken out and one for the limits.
 *
 * Equal documents have equal digests, whatever the order of their maps and sets. Fields with their default value are
 * omitted, so that a later release with an additional field computes the same digest for an old document.
 */
public fun ConfigDocument.toContent(): ResourceContent {
    val entries = HashMap<String, String>()
    failureDomains.forEach { (id, spec) -> entries.put(FAILURE_DOMAIN, id.value, FailureDomainSpec.serializer(), spec) }
    services.forEach { (id, spec) -> entries.put(SERVICE, id.value, ServiceSpec.serializer(), spec) }
    routes.forEach { (id, spec) -> entries.put(ROUTE, id.value, RouteSpec.serializer(), spec.sorted()) }
    workspaces.forEach { (id, spec) -> entries.put(WORKSPACE, id.value, WorkspaceSpec.serializer(), spec.sorted()) }
    entries[TAKEN_OUT] =
        CANONICAL_JSON.encodeToString(TAKEN_OUT_SERIALIZER, takenOutFailureDomains.sortedBy { it.value })
    entries[LIMITS] = CANONICAL_JSON.encodeToString(FleetLimits.serializer(), limits)
    return ResourceContent.of(ResourceKind.DOCUMENT, version, entries)
}

/** Reads a document back from its canonical form; [validateDocument] checks its values and references. */
public fun ResourceContent.toDocument(): Result<ConfigDocument, List<DocumentFault>> {
    if (kind != ResourceKind.DOCUMENT) return refuse(ResultCode.DOCUMENT_UNREADABLE, "the content is not a document")
    val reader = EntryReader(entries)
    val takenOut = reader.readOne(TAKEN_OUT, TAKEN_OUT_SERIALIZER)
    val limits = reader.readOne(LIMITS, FleetLimits.serializer())
    val document =
        ConfigDocument(
            version = version.number,
            failureDomains = reader.readAll(FAILURE_DOMAIN, FailureDomainSpec.serializer(), ::FailureDomainId),
            takenOutFailureDomains = takenOut.orEmpty().toSet(),
            services = reader.readAll(SERVICE, ServiceSpec.serializer(), ::ServiceId),
            routes = reader.readAll(ROUTE, RouteSpec.serializer(), ::RouteId),
            workspaces = reader.readAll(WORKSPACE, WorkspaceSpec.serializer(), ::WorkspaceId),
            limits = limits ?: FleetLimits(),
        )
    val faults = reader.finish()
    return if (faults.isEmpty()) Ok(document) else Err(faults)
}

private fun RouteSpec.sorted(): RouteSpec = copy(
    methods = methods.sorted().toSet(),
    nonRepeatableMethods = nonRepeatableMethods.sorted().toSet(),
    homeRegions = homeRegions.sorted(),
)

private fun WorkspaceSpec.sorted(): WorkspaceSpec = copy(homeRegions = homeRegions.sorted())

private fun Set<RegionId>.sorted(): Set<RegionId> = sortedBy { it.value }.toSet()

private val TAKEN_OUT_SERIALIZER = ListSerializer(FailureDomainId.serializer())
private const val FAILURE_DOMAIN = "failure-domain"
private const val SERVICE = "service"
private const val ROUTE = "route"
private const val WORKSPACE = "workspace"
private const val TAKEN_OUT = "taken-out"
private const val LIMITS = "limits"
