package kingcuptide.bench.fleet

import kingcuptide.coordination.connection.ControlMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.VersionMessage
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.SourceEffect
import kingcuptide.coordination.version.SourceOutcome
import kingcuptide.coordination.version.VersionCoordinator
import kingcuptide.coordination.version.VersionCounters
import kingcuptide.coordination.version.VersionSettings
import kingcuptide.coordination.version.versionCoordinator
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Daemon that runs the [VersionCoordinator] of one host. */
class VersionDaemon(
    fleet: InMemoryFleet,
    host: FleetHost,
    random: Random,
    settings: VersionSettings,
) : FleetDaemon {
    private val view = ListedFleetView(fleet, host.entry) { coordinator.hostList.current?.value }

    /** Distribution logic under test. */
    val coordinator: VersionCoordinator<Int> =
        versionCoordinator(
            clock = fleet.clock,
            random = random,
            fleet = view,
            settings = settings,
            codec = fleet.shared,
            validateDocument = fleet.shared::document,
            validateHostList = fleet.shared::hostList,
        )

    override val number: Long?
        get() = coordinator.document.current?.version?.number

    override val canAcceptWork: Boolean
        get() = coordinator.canAcceptWork()

    override val counters: VersionCounters
        get() = coordinator.counters

    override fun receive(from: HostId, message: ControlMessage): List<Outbound> =
        coordinator.receive(from, message as VersionMessage)

    override fun sourceOutcome(call: Long, kind: ResourceKind, outcome: SourceOutcome): List<Outbound> =
        coordinator.sourceOutcome(call, kind, outcome)

    override fun tick(): List<Outbound> = coordinator.tick()

    override fun takeSourceEffects(): List<SourceEffect> = coordinator.takeSourceEffects()

    companion object {
        /** Returns a factory of daemons with [settings]. */
        fun factory(settings: VersionSettings): DaemonFactory =
            { fleet, host, random -> VersionDaemon(fleet, host, random, settings) }
    }
}

/**
 * View with the daemon's current host list. A host that is down or unreachable is suspect after [SUSPECT_AFTER] and
 * dead after [DEAD_AFTER], as a membership protocol would find it.
 */
private class ListedFleetView(
    private val fleet: InMemoryFleet,
    override val self: HostEntry,
    private val currentHostList: () -> HostList?,
) : FleetView {
    private val selfOnlyList = HostList(0, listOf(self))
    private var indexedList: HostList? = null
    private var index: Map<HostId, HostEntry> = emptyMap()

    override val hostList: HostList
        get() = currentHostList() ?: selfOnlyList

    override fun entry(host: HostId): HostEntry? {
        val list = hostList
        if (list !== indexedList) {
            indexedList = list
            index = fleet.entriesByHost(list)
        }
        return index[host]
    }

    override fun liveness(host: HostId): Liveness {
        val peer = fleet.find(host) ?: return Liveness.DEAD
        val unreachableSince = peer.downSince ?: fleet.links.cutSince(peer.entry, self) ?: return Liveness.ALIVE
        return livenessAfter(fleet.clock.now() - unreachableSince)
    }

    override fun incarnation(host: HostId): Incarnation? = fleet.find(host)?.let { Incarnation(it.run.toLong()) }

    private fun livenessAfter(unreachableFor: Duration): Liveness =
        when {
            unreachableFor >= DEAD_AFTER -> Liveness.DEAD
            unreachableFor >= SUSPECT_AFTER -> Liveness.SUSPECT
            else -> Liveness.ALIVE
        }

    private companion object {
        val SUSPECT_AFTER = 2.seconds
        val DEAD_AFTER = 6.seconds
    }
}
