package kingcuptide.bench.fleet

import kingcuptide.coordination.connection.VersionAck
import kingcuptide.coordination.connection.VersionOffer
import kingcuptide.coordination.connection.VersionPayload
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.version.ResourceKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Step in the distribution of a version at which a fault is injected. [label] is the column title of the table. */
enum class VersionStep(
    val label: String,
) {
    WATCH_WAITING("watch waiting"),
    READ_IN_FLIGHT("read in flight"),
    VALIDATED("validated"),
    DIFFERENCE_RECEIVED("difference received"),
    ACKNOWLEDGED("acknowledged"),
    SWAPPED("swapped"),
    RELAYED("relayed"),
    IN_VIEW("in the view"),
}

/** Fault in the distribution of versions, and how it ends. [label] is the row title of the table. */
enum class VersionFault(
    val label: String,
    val inject: (FaultScenario) -> Unit,
    val end: (FaultScenario) -> Unit,
) {
    DAEMON_KILLED("daemon killed", { it.fleet.kill(it.victim) }, { it.fleet.start(it.victim) }),
    HERD_KILLED(
        "herd killed",
        { scenario -> scenario.restartGroup.forEach { scenario.fleet.kill(it) } },
        { it.fleet.start(it.restartGroup) },
    ),
    DAEMON_FROZEN("daemon frozen and woken", { it.fleet.freeze(it.victim) }, { it.fleet.resume(it.victim) }),
    LINK_CUT_ONE_WAY(
        "link cut one way",
        { scenario -> scenario.cut { from, _ -> from.failureDomain == scenario.victim.entry.failureDomain } },
        { it.restore() },
    ),
    LINK_CUT_BOTH_WAYS(
        "link cut both ways",
        { scenario ->
            val domain = scenario.victim.entry.failureDomain
            scenario.cut { from, to -> (from.failureDomain == domain) != (to.failureDomain == domain) }
        },
        { it.restore() },
    ),
    REGION_CUT(
        "region cut",
        { scenario -> scenario.cut { from, to -> (from.region == PLATFORM_REGION) != (to.region == PLATFORM_REGION) } },
        { it.restore() },
    ),
    REORDERED(
        "updates reordered and delayed",
        { it.setLinkFaults(LinkFaults(reordering = 0.5)) },
        { it.setLinkFaults(LinkFaults()) },
    ),
    DUPLICATED(
        "updates duplicated",
        { it.setLinkFaults(LinkFaults(duplication = 0.5)) },
        { it.setLinkFaults(LinkFaults()) },
    ),
    LOST("updates lost", { it.setLinkFaults(LinkFaults(loss = 0.2)) }, { it.setLinkFaults(LinkFaults()) }),
    SOURCE_DOWN("source down", { it.setPlatformMode(PlatformMode.DOWN) }, { it.setPlatformMode(PlatformMode.UP) }),
    SOURCE_STALE("source stale", { it.setPlatformMode(PlatformMode.STALE) }, { it.setPlatformMode(PlatformMode.UP) }),
    SOURCE_GOING_BACK(
        "source going back",
        { it.setPlatformMode(PlatformMode.GOING_BACK) },
        { it.setPlatformMode(PlatformMode.UP) },
    ),
    SOURCE_SLOW("source slow", { it.setPlatformMode(PlatformMode.SLOW) }, { it.setPlatformMode(PlatformMode.UP) }),
    BAD_DOCUMENT("bad document", { it.fleet.platform.publish(it.documents.nextBad()) }, { it.publishNext() }),
    HUGE_DOCUMENT("huge document", { it.fleet.platform.publish(it.documents.nextHuge()) }, { it.publishNext() }),
}

/** Fleet in which [fault] is injected once, at a given step. */
class FaultScenario(
    val fleet: InMemoryFleet,
    val documents: DocumentSeries,
    private val fault: VersionFault,
) {
    /** Host on which the step was reached. */
    var victim: FleetHost = fleet.hosts.first()
        private set

    /** Number of the document that all hosts must have in force at the end. */
    var expectedNumber: Long = 1
        private set

    /** Time at which the fault was injected, or null if the step was not reached. */
    var injectedAt: Duration? = null
        private set

    /** Two of three hosts, including the victim: these restart together. */
    val restartGroup: Set<FleetHost> by lazy {
        fleet.hosts.filterIndexed { index, _ -> index % 3 != 0 }.toSet() + victim
    }

    private var cut: LinkCut? = null

    /** Publishes the next valid version. */
    fun publishNext() {
        val content = documents.next()
        expectedNumber = content.version.number
        fleet.platform.publish(content)
    }

    /** Publishes a version, and injects the fault when its distribution first reaches [step] on any host. */
    fun injectAt(step: VersionStep) {
        val number = expectedNumber + 1
        when (step) {
            VersionStep.WATCH_WAITING -> inject(fleet.hosts.first())
            VersionStep.READ_IN_FLIGHT -> fleet.events.after(READ_START_DELAY) { inject(readers().first()) }
            VersionStep.VALIDATED ->
                fleet.shared.onValidated =
                    { if (it.version.number == number) injectSoon(readers().first()) }
            VersionStep.DIFFERENCE_RECEIVED -> onMessage<VersionPayload> {
                it.offered.kind to it.offered.version.number
            }
            VersionStep.ACKNOWLEDGED -> onMessage<VersionAck> { it.kind to it.version.number }
            VersionStep.SWAPPED -> fleet.onInForce = { host, inForce -> if (inForce == number) injectSoon(host) }
            VersionStep.RELAYED -> onMessage<VersionOffer> {
                it.offered.first().kind to
                    if (it.acknowledge) 0 else it.offered.first().version.number
            }
            VersionStep.IN_VIEW -> error("the simulated fleet has no view: the step IN_VIEW is not covered here")
        }
        if (step == VersionStep.WATCH_WAITING) fleet.run(WATCH_START_TIME)
        publishNext()
    }

    /** Cuts the links for which [matches] is true. */
    fun cut(
        matches: (
            from: kingcuptide.coordination.process.HostEntry,
            to: kingcuptide.coordination.process.HostEntry,
        ) -> Boolean,
    ) {
        cut = fleet.links.cut(matches)
    }

    /** Ends the cut. */
    fun restore() {
        cut?.let { fleet.links.restore(it) }
    }

    /** Sets the faults of all links. */
    fun setLinkFaults(faults: LinkFaults) {
        fleet.links.faults = faults
    }

    /** Sets how the platform answers. */
    fun setPlatformMode(mode: PlatformMode) {
        fleet.platform.mode = mode
    }

    private fun readers(): List<FleetHost> =
        fleet.hosts.filter { (it.daemon as? VersionDaemon)?.coordinator?.isReader(ResourceKind.DOCUMENT) == true }

    private inline fun <reified M> onMessage(crossinline describe: (M) -> Pair<ResourceKind, Long>) {
        val number = expectedNumber + 1
        fleet.onDelivered = { _, host, message ->
            if (message is M && describe(message) == ResourceKind.DOCUMENT to number) injectSoon(host)
        }
    }

    private fun injectSoon(host: FleetHost) {
        if (injectedAt == null) fleet.events.after(Duration.ZERO) { inject(host) }
    }

    private fun inject(host: FleetHost) {
        if (injectedAt != null) return
        injectedAt = fleet.clock.now()
        victim = host
        fault.inject(this)
    }

    private companion object {
        val READ_START_DELAY = 500.microseconds
        val WATCH_START_TIME = 300.milliseconds
    }
}

/** Time from the injection of a fault to its end. */
val FAULT_DURATION: Duration = 5.seconds

/** Markdown table of the version faults; `x` marks the cells that [VersionFaultMatrixTest] covers. */
fun versionFaultTable(covered: Collection<VersionStep>): String {
    val head = "| fault | " + VersionStep.entries.joinToString(" | ") { it.label } + " |"
    val rule = "| --- " + "| --- ".repeat(VersionStep.entries.size) + "|"
    val rows = VersionFault.entries.map { fault ->
        "| ${fault.label} |" +
            VersionStep.entries.joinToString("") { if (it in covered) " x |" else " |" }
    }
    return (listOf(head, rule) + rows).joinToString("\n")
}
