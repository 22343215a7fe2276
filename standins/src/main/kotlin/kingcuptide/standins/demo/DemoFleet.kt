package kingcuptide.standins.demo

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.ConfigDocument
import kingcuptide.coordination.version.RouteSpec
import kingcuptide.coordination.version.ServiceSpec
import kingcuptide.standins.fleet.DomainShape
import kingcuptide.standins.fleet.FleetShape
import kingcuptide.standins.fleet.LocalFleetOptions
import kingcuptide.standins.fleet.fleetShape

internal val DEMO_SERVICES = listOf(ServiceId("parcels"), ServiceId("rounds"))
internal val DEMO_DOMAINS = listOf(FailureDomainId("north-1"), FailureDomainId("north-2"), FailureDomainId("south-1"))

/** Keeps keys for a short time only, since a new fleet grants keys only once this time has passed. */
internal val DEMO_OPTIONS = LocalFleetOptions(resendWindowMs = 1_000, maxKeyedDeadlineMs = 1_000)

/** Six hosts in three failure domains of two regions. */
internal fun demoFleet(): FleetShape =
    fleetShape(
        network = DEMO_NETWORK,
        domains =
            listOf(
                DomainShape(DEMO_DOMAINS[0], RegionId("north"), DEMO_SERVICES),
                DomainShape(DEMO_DOMAINS[1], RegionId("north"), DEMO_SERVICES),
                DomainShape(DEMO_DOMAINS[2], RegionId("south"), DEMO_SERVICES),
            ),
        document = demoDocument(),
    )

private fun demoDocument(): ConfigDocument {
    val spec = ServiceSpec(slots = 10, maxConnections = 100, coldSlots = 4, coldStartMs = 1_000)
    return ConfigDocument(
        version = 1,
        services = DEMO_SERVICES.associateWith { spec },
        routes = DEMO_SERVICES.associate { RouteId(it.value) to RouteSpec(it, "/$it", timeoutMs = 1_000) },
    )
}

private const val DEMO_NETWORK = 29
