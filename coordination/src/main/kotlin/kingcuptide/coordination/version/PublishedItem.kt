package kingcuptide.coordination.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.ServiceId
import kotlin.time.Duration

/** What one item of the source says, in the product's own types. */
public sealed interface PublishedItem {
    /** A version of the configuration. */
    public data class Configuration(
        val version: RoutingVersion,
    ) : PublishedItem

    /** A target that is there. */
    public data class Target(
        val entry: TargetEntry,
    ) : PublishedItem

    /** A failure domain that operators have taken out. */
    public data class TakenOut(
        val failureDomain: FailureDomainId,
    ) : PublishedItem

    /** An item that says nothing that can be used. */
    public data class Unusable(
        val reason: String,
    ) : PublishedItem
}

/** Name of one target; a replaced target mostly has a new one. */
@JvmInline
public value class TargetId(
    public val value: String,
) {
    override fun toString(): String = value
}

/**
 * What a target says of itself.
 *
 * @property ip address of its host, at which the daemon beside it is found too
 * @property leaving whether it asked for no further requests
 * @property coldFor how much longer it stays cold, counted from when it said so
 * @property startedAtUnixMs when it started, by its own clock, or 0 if it doesn't say
 * @property reports how often it has reported since it started
 */
public data class TargetEntry(
    val id: TargetId,
    val service: ServiceId,
    val ip: String,
    val port: Int,
    val failureDomain: FailureDomainId,
    val softwareVersion: String,
    val slots: Int,
    val leaving: Boolean,
    val coldFor: Duration,
    val startedAtUnixMs: Long,
    val reports: Long,
) {
    /** Address as `ip:port`. */
    public val address: String get() = "$ip:$port"
}

/** Turns items of the source into facts; it never throws, whatever the bytes are. */
public fun interface PublishedItemDecoder {
    public fun decode(item: SourceItem): PublishedItem
}

/** One item of the source. A null [value] says that the item was removed at [revision]. */
public class SourceItem(
    public val key: String,
    public val revision: Long,
    public val value: ByteArray?,
)
