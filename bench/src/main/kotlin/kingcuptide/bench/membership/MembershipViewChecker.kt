package kingcuptide.bench.membership

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.Liveness

/** Checks the membership views of all live daemons, and records violated guarantees. */
class MembershipViewChecker(
    private val fleet: MembershipFleet,
) {
    private val found = LinkedHashSet<Violation>()
    private val incarnations = HashMap<ViewOf, Incarnation>()
    private val seenDead = HashSet<ViewOf>()

    /** Hosts that a fault affects; others may consider them dead, and they others. */
    val affectedHosts = HashSet<HostId>()

    /** Hosts that no daemon may consider dead. */
    var neverDeadNodes: List<FleetNode> = emptyList()

    /** Whether the regions are cut from each other. */
    var regionsCut = false

    val violations: Set<Violation> get() = found

    /** Records that [promise] was violated, at most [MAX_VIOLATIONS_PER_PROMISE] times each. */
    fun report(promise: MembershipPromise, detail: String) {
        if (found.count { it.promise == promise } < MAX_VIOLATIONS_PER_PROMISE) found += Violation(promise, detail)
    }

    /** Returns whether [first] and [second] are in different regions while the regions are cut from each other. */
    fun areCut(first: FleetNode, second: FleetNode): Boolean =
        regionsCut && first.entry.region != second.entry.region

    /** Checks the view that each live daemon has of each other host once. */
    fun checkViews() {
        for (observer in fleet.nodes.filter { it.live }) {
            fleet.nodes.filter { it !== observer }.forEach { checkViews(observer, it) }
        }
    }

    private fun checkViews(observer: FleetNode, host: FleetNode) {
        val liveness = observer.membership.liveness(host.host)
        val view = ViewOf(observer.host, observer.process, host.host)
        checkIncarnation(view, observer.membership.incarnation(host.host))
        checkRevival(view, host, liveness)
        if (liveness != Liveness.DEAD || !host.running || isViewOfFormerProcess(observer, host)) return
        if (host in neverDeadNodes) report(MembershipPromise.PAUSE_IS_NO_DEATH, "$view is dead")
        val unaffected = observer.host !in affectedHosts && host.host !in affectedHosts && !areCut(observer, host)
        if (unaffected) report(MembershipPromise.NO_FALSE_DEATH, "$view is dead")
    }

    /** A former process may be seen as dead until the observer knows of the new one. */
    private fun isViewOfFormerProcess(observer: FleetNode, host: FleetNode): Boolean {
        val seen = observer.membership.incarnation(host.host) ?: return false
        val own = host.membership.incarnation(host.host) ?: return false
        return seen < own
    }

    private fun checkIncarnation(view: ViewOf, incarnation: Incarnation?) {
        if (incarnation == null) return
        val known = incarnations.put(view, incarnation) ?: return
        if (incarnation < known) report(MembershipPromise.NO_REVIVAL, "$view fell from $known to $incarnation")
    }

    private fun checkRevival(view: ViewOf, host: FleetNode, liveness: Liveness) {
        if (host.running) {
            seenDead -= view
            return
        }
        if (liveness == Liveness.DEAD) seenDead += view
        if (liveness == Liveness.ALIVE && view in seenDead) report(MembershipPromise.NO_REVIVAL, "$view is alive again")
    }

    private data class ViewOf(
        val observer: HostId,
        val process: Int,
        val host: HostId,
    ) {
        override fun toString(): String = "$host seen by $observer"
    }

    private companion object {
        const val MAX_VIOLATIONS_PER_PROMISE = 3
    }
}
