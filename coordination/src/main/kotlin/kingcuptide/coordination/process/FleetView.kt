package kingcuptide.coordination.process

/** Liveness of another host's daemon, as known to this daemon. */
public enum class Liveness {
    /** Replied recently, or was reported alive by a peer. */
    ALIVE,

    /** Missed its probes, maybe only due to a pause. Keeps its roles; gets new work only if no other host can do it. */
    SUSPECT,

    /** Missed its probes for so long that other hosts have taken over its roles. */
    DEAD,

    /** Announced that it is leaving, or is leaving according to the platform. Gets no new work. */
    LEAVING,

    /** On the host list, but no state of it was ever received. */
    UNKNOWN,
}

/** Current state of the fleet as known to this daemon; the views of other daemons may differ. */
public interface FleetView {
    /** This daemon's own entry. */
    public val self: HostEntry

    /** The newest host list known to this daemon. Contains [self] even before the platform lists it. */
    public val hostList: HostList

    /** Returns the entry of [host], or null if it is not on the host list. */
    public fun entry(host: HostId): HostEntry?

    /** Returns the liveness of [host]; [Liveness.UNKNOWN] if it is not on the host list. */
    public fun liveness(host: HostId): Liveness

    /** Returns the newest known incarnation of [host], or null if none was ever received. */
    public fun incarnation(host: HostId): Incarnation?
}
