package kingcuptide.bench.membership

/** Fault of daemons or of the network between them. */
enum class MembershipFault(
    val title: String,
    val promises: Set<MembershipPromise>,
) {
    LEFT("host leaves as planned", emptySet()),
    KILLED("daemon killed", setOf(MembershipPromise.DETECTED)),
    DOMAIN_KILLED("failure domain killed", setOf(MembershipPromise.DETECTED)),
    FROZEN("daemon frozen for 3 s", setOf(MembershipPromise.PAUSE_IS_NO_DEATH)),
    FROZEN_LONG("daemon frozen for 20 s", emptySet()),
    DOMAIN_FROZEN("failure domain frozen for 3 s", setOf(MembershipPromise.PAUSE_IS_NO_DEATH)),
    CUT_INBOUND("daemon receives nothing for 20 s", emptySet()),
    CUT_OUTBOUND("daemon's messages are lost for 20 s", emptySet()),
    CUT_BOTH("daemon cut off for 20 s", emptySet()),
    CUT_PAIR("one link cut for 20 s", setOf(MembershipPromise.PAUSE_IS_NO_DEATH)),
    REGION_CUT("regions cut for 30 s", emptySet()),
    DISORDER("messages lost, repeated and reordered for 20 s", setOf(MembershipPromise.PAUSE_IS_NO_DEATH)),
    RESTARTED("daemon restarted", emptySet()),
    RESTARTED_CLOCK_BACK("daemon restarted with an earlier clock", emptySet()),
    ALL_RESTARTED("all daemons restarted", emptySet()),
}

/** State of the fleet when a fault is injected. */
enum class MembershipStep(
    val title: String,
) {
    AT_REST("at rest"),
    WHILE_SUSPECTED("another host is suspected"),
    WHILE_LEAVING("another host announces that it leaves"),
    WHILE_STARTING("the fleet starts"),
    WHILE_DOMAIN_RETURNS("a failure domain returns"),
}

/** A guarantee that holds despite a fault. Those of [EVERY_CASE] hold in each case of the matrix. */
enum class MembershipPromise(
    val title: String,
) {
    DETECTED("suspected everywhere within 3 s, dead within 10 s"),
    PAUSE_IS_NO_DEATH("the host is dead nowhere"),
    LEAVING_KNOWN("a host that leaves is known to leave everywhere within 3 s"),
    NO_FALSE_DEATH("hosts that no fault touches are never dead to one another"),
    NO_REVIVAL("a host that is gone is never alive again, and no incarnation falls"),
    HEALED("5 s after the faults no live host is dead anywhere, and 15 s after them all are alive"),
    GONE_IS_DEAD("15 s after the faults each host that is gone is dead everywhere"),
    ;

    companion object {
        val EVERY_CASE = setOf(NO_FALSE_DEATH, NO_REVIVAL, HEALED, GONE_IS_DEAD)
    }
}

/** One fault at one step. */
data class MembershipFaultCase(
    val fault: MembershipFault,
    val step: MembershipStep,
) {
    val promises: Set<MembershipPromise>
        get() = MembershipPromise.EVERY_CASE + fault.promises + stepPromises()

    override fun toString(): String = "${fault.title}, while ${step.title}"

    private fun stepPromises(): Set<MembershipPromise> {
        val leaves = fault == MembershipFault.LEFT || step == MembershipStep.WHILE_LEAVING
        val keepsRunning = fault != MembershipFault.ALL_RESTARTED
        return if (leaves && keepsRunning) setOf(MembershipPromise.LEAVING_KNOWN) else emptySet()
    }
}

/** Every fault at every step. */
val MEMBERSHIP_FAULT_CASES: List<MembershipFaultCase> = MembershipFault.entries.flatMap { fault ->
    MembershipStep.entries.map { step -> MembershipFaultCase(fault, step) }
}

/** Returns the matrix as a table in Markdown, one line for each fault. */
fun membershipFaultTable(): String {
    val steps = MembershipStep.entries.joinToString("; ") { it.title }
    val everyCase = MembershipPromise.EVERY_CASE.joinToString("; ") { it.title }
    val rows = MembershipFault.entries.map { fault ->
        val promises = (fault.promises + leavingPromise(fault)).joinToString("; ") { it.title }
        "| ${fault.title} | $promises |"
    }
    val head = listOf("Each fault strikes at each step: $steps.", "", "In every case: $everyCase.", "")
    return (head + listOf("| fault | besides |", "| --- | --- |") + rows).joinToString("\n")
}

private fun leavingPromise(fault: MembershipFault): Set<MembershipPromise> =
    if (fault == MembershipFault.LEFT) setOf(MembershipPromise.LEAVING_KNOWN) else emptySet()
