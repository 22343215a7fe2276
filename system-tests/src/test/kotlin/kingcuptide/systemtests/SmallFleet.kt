package kingcuptide.systemtests

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.version.ConfigDocument
import kingcuptide.coordination.version.RouteSpec
import kingcuptide.coordination.version.ServiceSpec
import kingcuptide.coordination.version.WorkspaceSpec
import kingcuptide.standins.fleet.DomainShape
import kingcuptide.standins.fleet.FleetShape
import kingcuptide.standins.fleet.LocalFleet
import kingcuptide.standins.fleet.LocalFleetOptions
import kingcuptide.standins.fleet.fleetShape
import java.nio.file.Path

internal val PARCELS = ServiceId("parcels")
internal val DISPATCH = ServiceId("dispatch")
internal val NORTH = RegionId("north")
internal val SOUTH = RegionId("south")

/** A document with two services, each with a route whose POST runs at most once, and a workspace homed in the south. */
internal fun smallDocument(version: Long = 1): ConfigDocument =
    ConfigDocument(
        version = version,
        services =
            mapOf(
                PARCELS to ServiceSpec(slots = 10, maxConnections = 100, coldSlots = 2, coldStartMs = 500),
                DISPATCH to ServiceSpec(slots = 10, maxConnections = 100, coldSlots = 2, coldStartMs = 500),
            ),
        routes =
            mapOf(
                RouteId("parcels") to RouteSpec(PARCELS, "/parcels"),
                RouteId("dispatch") to RouteSpec(DISPATCH, "/dispatch"),
            ),
        workspaces = mapOf(WorkspaceId("southern") to WorkspaceSpec(setOf(SOUTH))),
    )

/** Three failure domains in two regions: parcels in the first and third, dispatch in the second. */
internal fun threeHosts(network: Int): FleetShape =
    fleetShape(
        network,
        listOf(
            DomainShape(FailureDomainId("north-1"), NORTH, listOf(PARCELS)),
            DomainShape(FailureDomainId("north-2"), NORTH, listOf(DISPATCH)),
            DomainShape(FailureDomainId("south-1"), SOUTH, listOf(PARCELS)),
        ),
        smallDocument(),
    )

/** Starts a fleet of [shape]; the logs of its processes are kept under `target/fleets/NAME`. */
internal fun startFleet(shape: FleetShape, name: String, options: LocalFleetOptions = LocalFleetOptions()): LocalFleet =
    LocalFleet(shape, Path.of("target", "fleets", name).toAbsolutePath(), options).also { fleet ->
        try {
            fleet.startAll()
        } catch (failure: Throwable) {
            fleet.close()
            throw failure
        }
    }

internal fun FleetShape.hostOf(service: ServiceId): HostEntry = hosts.first { it.service == service }

/** Returns this document with the failure domains of [fleet]. */
internal fun ConfigDocument.withDomainsOf(
    fleet: LocalFleet,
): ConfigDocument = copy(failureDomains = fleet.shape.document.failureDomains)
