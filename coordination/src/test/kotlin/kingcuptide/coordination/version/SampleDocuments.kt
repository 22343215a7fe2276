package kingcuptide.coordination.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.HostState
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.process.WorkspaceId
import kotlin.random.Random

internal val NORTH = RegionId("north")
internal val SOUTH = RegionId("south")
internal val PARCELS = ServiceId("parcels")

/** A small valid document with two regions and three failure domains. */
internal fun sampleDocument(version: Long = 1): ConfigDocument = ConfigDocument(
    version = version,
    failureDomains =
        mapOf(
            FailureDomainId("n1") to FailureDomainSpec(NORTH),
            FailureDomainId("n2") to FailureDomainSpec(NORTH),
            FailureDomainId("s1") to FailureDomainSpec(SOUTH),
        ),
    takenOutFailureDomains = setOf(FailureDomainId("n2")),
    services = mapOf(PARCELS to ServiceSpec(slots = 10, maxConnections = 100)),
    routes =
        mapOf(
            RouteId("lookup") to RouteSpec(PARCELS, "/parcels", methods = setOf("GET", "HEAD")),
            RouteId("book") to
                RouteSpec(PARCELS, "/parcels/visits", methods = setOf("POST"), homeRegions = setOf(NORTH)),
        ),
    workspaces =
        mapOf(
            WorkspaceId("farm") to WorkspaceSpec(),
            WorkspaceId("north-farm") to WorkspaceSpec(setOf(NORTH)),
            WorkspaceId("south-farm") to WorkspaceSpec(setOf(SOUTH)),
        ),
)

internal fun sampleHost(name: String, domain: String, region: RegionId, service: ServiceId = PARCELS): HostEntry =
    HostEntry(HostId(name), "127.0.0.1", 7001, 8001, FailureDomainId(domain), region, service, HostState.LIVE)

internal fun sampleHostList(): HostList =
    HostList(4, listOf(sampleHost("a", "n1", NORTH), sampleHost("b", "n2", NORTH), sampleHost("c", "s1", SOUTH)))

/** A valid document of about [routes] times 150 bytes, with its maps and sets in an order drawn from [random]. */
internal fun largeDocument(routes: Int, random: Random, version: Long = 1): ConfigDocument {
    val ids = (0 until routes).shuffled(random)
    return sampleDocument(version).copy(
        routes =
            ids.associate { id ->
                val methods = listOf("GET", "PUT", "DELETE").shuffled(random).toSet()
                val home = listOf(NORTH, SOUTH).shuffled(random).toSet()
                RouteId("route-$id") to RouteSpec(PARCELS, "/area-${id % AREAS}/item-$id", methods, homeRegions = home)
            },
    )
}

private const val AREAS = 50
