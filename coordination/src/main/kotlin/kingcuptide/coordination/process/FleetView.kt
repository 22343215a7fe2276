package kingcuptide.coordination.process

/** What this daemon believes of another host's daemon. */
public enum class Liveness {
    /** Answered recently, or was reported alive by a peer. */
    ALIVE,

    /** Missed its probes; it may only be paused. It keeps its roles but gets no new work where another can take it. */
    SUSPECT,

    /** Missed its probes for so long that its roles have moved on. */
    DEAD,

    /** Said itself that it is leaving, or the platform says so. It gets no new work. */
    LEAVING,

    /** On the host list, but never heard of. */
    UNKNOWN,
}

/** What this daemon knows of the fleet at this moment. Other daemons may know something else. */
public interface FleetView {
    /** This daemon's own entry. */
    public val self: HostEntry

    /** The newest host list that this daemon holds. It contains [self] even before the platform lists it. */
    public val hostList: HostList

    /** Returns the entry of [host], or null if the host list does not have it. */
    public fun entry(host: HostId): HostEntry?

    /** Returns what this daemon believes of [host]. */
    public fun liveness(host: HostId): Liveness

    /** Returns the newest incarnation known of [host], or null if it was never heard of. */
    public fun incarnation(host: HostId): Incarnation?
}
