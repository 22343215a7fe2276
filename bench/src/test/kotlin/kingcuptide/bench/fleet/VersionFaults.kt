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

/** Where the distribution of a version stands when a fault strikes. [label] heads the column of the table. */
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

/** A fault of the versions' part of the fault matrix, and how it ends. [label] heads the row of the table. */
enum class VersionFault(
    val label: String,
    val strike: (FaultScene) -> Unit,
    val end: (FaultScene) -> Unit,
) {
    DAEMON_KILLED("daemon killed", { it.fleet.kill(it.victim) }, { it.fleet.start(it.victim) }),
    HERD_KILLED("herd killed", { scene -> scene.herd.forEach { scene.fleet.kill(it) } }, { it.fleet.start(it.herd) }),
    DAEMON_FROZEN("daemon frozen and woken", { it.fleet.freeze(it.victim) }, { it.fleet.wake(it.victim) }),
    LINK_CUT_ONE_WAY(
        "link cut one way",
        { scene -> scene.cut { from, _ -> from.failureDomain == scene.victim.entry.failureDomain } },
        { it.mend() },
    ),
    LINK_CUT_BOTH_WAYS(
        "link cut both ways",
        { scene ->
            val domain = scene.victim.entry.failureDomain
            scene.cut { from, to -> (from.failureDomain == domain) != (to.failureDomain == domain) }
        },
        { it.mend() },
    ),
    REGION_CUT(
        "region cut",
        { scene -> scene.cut { from, to -> (from.region == PLATFORM_REGION) != (to.region == PLATFORM_REGION) } },
        { it.mend() },
    ),
    REORDERED("updates reordered and delayed", { it.links(LinkFaults(reordering = 0.5)) }, { it.links(LinkFaults()) }),
    DUPLICATED("updates duplicated", { it.links(LinkFaults(duplication = 0.5)) }, { it.links(LinkFaults()) }),
    LOST("updates lost", { it.links(LinkFaults(loss = 0.2)) }, { it.links(LinkFaults()) }),
    SOURCE_DOWN("source down", { it.source(PlatformMode.DOWN) }, { it.source(PlatformMode.UP) }),
    SOURCE_STALE("source stale", { it.source(PlatformMode.STALE) }, { it.source(PlatformMode.UP) }),
    SOURCE_GOING_BACK("source going back", { it.source(PlatformMode.GOING_BACK) }, { it.source(PlatformMode.UP) }),
    SOURCE_SLOW("source slow", { it.source(PlatformMode.SLOW) }, { it.source(PlatformMode.UP) }),
    BAD_DOCUMENT("bad document", { it.fleet.platform.publish(it.documents.nextBad()) }, { it.publishNext() }),
    HUGE_DOCUMENT("huge document", { it.fleet.platform.publish(it.documents.nextHuge()) }, { it.publishNext() }),
}

/** One fleet in which one fault strikes at one step. */
class FaultScene(
    val fleet: InMemoryFleet,
    val documents: DocumentSeries,
    private val fault: VersionFault,
) {
    /** The host on which the step was reached. */
    var victim: FleetHost = fleet.hosts.first()
        private set

    /** The number that shall be in force in the end. */
    var expected: Long = 1
        private set

    /** When the fault struck, or null if the step was never reached. */
    var struckAt: Duration? = null
        private set

    /** Two of three hosts, the victim among them. */
    val herd: Set<FleetHost> by lazy { fleet.hosts.filterIndexed { index, _ -> index % 3 != 0 }.toSet() + victim }

    private var cut: LinkCut? = null

    /** Publishes the next good version. */
    fun publishNext() {
        val content = documents.next()
        expected = content.version.number
        fleet.platform.publish(content)
    }

    /** Arranges for the fault to strike when [step] is reached, and publishes a version. */
    fun strikeAt(step: VersionStep) {
        val number = expected + 1
        when (step) {
            VersionStep.WATCH_WAITING -> strike(fleet.hosts.first())
            VersionStep.READ_IN_FLIGHT -> fleet.events.after(READ_DELAY) { strike(readers().first()) }
            VersionStep.VALIDATED ->
                fleet.shared.onValidated =
                    { if (it.version.number == number) strikeSoon(readers().first()) }
            VersionStep.DIFFERENCE_RECEIVED -> onMessage<VersionPayload> {
                it.offered.kind to it.offered.version.number
            }
            VersionStep.ACKNOWLEDGED -> onMessage<VersionAck> { it.kind to it.version.number }
            VersionStep.SWAPPED -> fleet.onInForce = { host, inForce -> if (inForce == number) strikeSoon(host) }
            VersionStep.RELAYED -> onMessage<VersionOffer> {
                it.offered.first().kind to
                    if (it.acknowledge) 0 else it.offered.first().version.number
            }
            VersionStep.IN_VIEW -> error("no view here")
        }
        if (step == VersionStep.WATCH_WAITING) fleet.run(SHORT)
        publishNext()
    }

    /** Cuts the links that [cuts] names. */
    fun cut(
        cuts: (
            from: kingcuptide.coordination.process.HostEntry,
            to: kingcuptide.coordination.process.HostEntry,
        ) -> Boolean,
    ) {
        cut = fleet.links.cut(cuts)
    }

    /** Ends the cut. */
    fun mend() {
        cut?.let { fleet.links.mend(it) }
    }

    /** Sets the faults of all links. */
    fun links(faults: LinkFaults) {
        fleet.links.faults = faults
    }

    /** Sets how the platform answers. */
    fun source(mode: PlatformMode) {
        fleet.platform.mode = mode
    }

    private fun readers(): List<FleetHost> =
        fleet.hosts.filter { (it.daemon as? VersionDaemon)?.coordinator?.isReader(ResourceKind.DOCUMENT) == true }

    private inline fun <reified M> onMessage(crossinline describe: (M) -> Pair<ResourceKind, Long>) {
        val number = expected + 1
        fleet.onDelivered = { _, host, message ->
            if (message is M && describe(message) == ResourceKind.DOCUMENT to number) strikeSoon(host)
        }
    }

    private fun strikeSoon(host: FleetHost) {
        if (struckAt == null) fleet.events.after(Duration.ZERO) { strike(host) }
    }

    private fun strike(host: FleetHost) {
        if (struckAt != null) return
        struckAt = fleet.clock.now()
        victim = host
        fault.strike(this)
    }

    private companion object {
        val READ_DELAY = 500.microseconds
        val SHORT = 300.milliseconds
    }
}

/** How long each fault lasts. */
val FAULT_LASTS: Duration = 5.seconds

/** The table of the version faults for the documents: `x` where [VersionFaultMatrixTest] covers the cell. */
fun versionFaultTable(covered: Collection<VersionStep>): String {
    val head = "| fault | " + VersionStep.entries.joinToString(" | ") { it.label } + " |"
    val rule = "| --- " + "| --- ".repeat(VersionStep.entries.size) + "|"
    val rows = VersionFault.entries.map { fault ->
        "| ${fault.label} |" +
            VersionStep.entries.joinToString("") { if (it in covered) " x |" else " |" }
    }
    return (listOf(head, rule) + rows).joinToString("\n")
}
