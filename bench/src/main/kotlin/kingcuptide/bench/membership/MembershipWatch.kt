package kingcuptide.bench.membership

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.Liveness

/** Looks at the views of all live daemons again and again, and notes what must never be seen. */
class MembershipWatch(
    private val fleet: MembershipFleet,
) {
    private val found = LinkedHashSet<Violation>()
    private val incarnations = HashMap<ViewOf, Incarnation>()
    private val seenDead = HashSet<ViewOf>()

    /** Hosts that a fault touches; they may be dead to others, and others to them. */
    val touched = HashSet<HostId>()

    /** Hosts that must not be dead to anybody. */
    var spared: List<FleetNode> = emptyList()

    /** Whether the regions are cut from each other. */
    var regionsApart = false

    val violations: Set<Violation> get() = found

    /** Notes that [promise] did not hold. */
    fun report(promise: MembershipPromise, detail: String) {
        if (found.count { it.promise == promise } < MAX_DETAILS) found += Violation(promise, detail)
    }

    /** Returns whether [first] and [second] cannot reach each other. */
    fun areApart(first: FleetNode, second: FleetNode): Boolean =
        regionsApart && first.entry.region != second.entry.region

    /** Looks at every view once. */
    fun look() {
        for (observer in fleet.nodes.filter { it.live }) {
            fleet.nodes.filter { it !== observer }.forEach { look(observer, it) }
        }
    }

    private fun look(observer: FleetNode, host: FleetNode) {
        val liveness = observer.membership.liveness(host.host)
        val view = ViewOf(observer.host, observer.process, host.host)
        checkIncarnation(view, observer.membership.incarnation(host.host))
        checkRevival(view, host, liveness)
        if (liveness != Liveness.DEAD || !host.running || isAboutFormerProcess(observer, host)) return
        if (host in spared) report(MembershipPromise.PAUSE_IS_NO_DEATH, "$view is dead")
        val free = observer.host !in touched && host.host !in touched && !areApart(observer, host)
        if (free) report(MembershipPromise.NO_FALSE_DEATH, "$view is dead")
    }

    /** The death of a former process may be seen until the new one is heard of. */
    private fun isAboutFormerProcess(observer: FleetNode, host: FleetNode): Boolean {
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
        const val MAX_DETAILS = 3
    }
}
