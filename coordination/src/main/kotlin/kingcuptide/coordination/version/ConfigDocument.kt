package kingcuptide.coordination.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.process.WorkspaceId
import kotlinx.serialization.Serializable

/** The console's document: all that a daemon needs to route and admit requests, under one [version] number. */
@Serializable
public data class ConfigDocument(
    val version: Long,
    val failureDomains: Map<FailureDomainId, FailureDomainSpec> = emptyMap(),
    val takenOutFailureDomains: Set<FailureDomainId> = emptySet(),
    val services: Map<ServiceId, ServiceSpec> = emptyMap(),
    val routes: Map<RouteId, RouteSpec> = emptyMap(),
    val workspaces: Map<WorkspaceId, WorkspaceSpec> = emptyMap(),
    val limits: FleetLimits = FleetLimits(),
)

/** Location of a failure domain. */
@Serializable
public data class FailureDomainSpec(
    val region: RegionId,
)

/**
 * Capacity of one target of a service.
 *
 * A cold target starts with [coldSlots] and reaches [slots] after [coldStartMs]. See [DocumentRanges] for the bounds.
 */
@Serializable
public data class ServiceSpec(
    val slots: Int,
    val maxConnections: Int,
    val coldSlots: Int = 1,
    val coldStartMs: Long = 20_000,
    val queueLength: Int = 20,
)

/**
 * The requests that are routed to [service].
 *
 * A route matches by the longest [pathPrefix] (whole path segments) among the routes that allow the method; an empty
 * [methods] allows all. A request whose method is in [nonRepeatableMethods] runs at most once.
 */
@Serializable
public data class RouteSpec(
    val service: ServiceId,
    val pathPrefix: String,
    val methods: Set<String> = emptySet(),
    val nonRepeatableMethods: Set<String> = setOf("POST", "PATCH"),
    val timeoutMs: Long = 5_000,
    val workspaceRequired: Boolean = false,
    val homeRegions: Set<RegionId> = emptySet(),
    val maxBodyBytes: Long = 1_048_576,
    val maxRetries: Int = 2,
    val retryBudgetPercent: Int = 20,
)

/** A workspace's requests are served, sent and stored only in [homeRegions]; empty means anywhere. */
@Serializable
public data class WorkspaceSpec(
    val homeRegions: Set<RegionId> = emptySet(),
)

/** Limits for the whole fleet. */
@Serializable
public data class FleetLimits(
    val quarantineMs: Long = 600_000,
)
