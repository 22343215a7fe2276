package kingcuptide.coordination.process

import kotlinx.serialization.Serializable

/** Name of a host; unique in the fleet. A replaced host keeps the name and gets a new [Incarnation]. */
@JvmInline
@Serializable
public value class HostId(
    public val value: String,
) : Comparable<HostId> {
    override fun compareTo(other: HostId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a failure domain: hosts that may fail together. */
@JvmInline
@Serializable
public value class FailureDomainId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a region: failure domains connected by fast links, and the unit of data residency. */
@JvmInline
@Serializable
public value class RegionId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a service: a set of interchangeable targets. */
@JvmInline
@Serializable
public value class ServiceId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a route of the document. */
@JvmInline
@Serializable
public value class RouteId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a workspace. */
@JvmInline
@Serializable
public value class WorkspaceId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** One run of the daemon on a host. A later run on the same host has a higher number. */
@JvmInline
@Serializable
public value class Incarnation(
    public val value: Long,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
