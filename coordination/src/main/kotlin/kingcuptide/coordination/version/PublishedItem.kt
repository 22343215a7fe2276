package kingcuptide.coordination.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.ServiceId
import kotlin.time.Duration

/** One decoded item of the source. */
public sealed interface PublishedItem {
    /** A version of the configuration. */
    public data class Configuration(
        val version: RoutingVersion,
    ) : PublishedItem

    /** A registered target. */
    public data class Target(
        val entry: TargetEntry,
    ) : PublishedItem

    /** A failure domain that operators have taken out of service. */
    public data class TakenOut(
        val failureDomain: FailureDomainId,
    ) : PublishedItem

    /** An item that cannot be used; [reason] says why. */
    public data class Unusable(
        val reason: String,
    ) : PublishedItem
}

/** Name of one target; a replacement usually has a different one. */
@JvmInline
public value class TargetId(
    public val value: String,
) {
    override fun toString(): String = value
}

/**
 * State that a target reports of itself.
 *
 * @property ip address of its host, which is also the address of the daemon beside it
 * @property leaving whether it has asked to receive no further requests
 * @property coldFor remaining time for which it stays cold, counted from its report
 * @property startedAtUnixMs start time by its own clock, in milliseconds since the Unix epoch; [UNKNOWN_START] if unknown
 * @property reports number of its reports since it started
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

    public companion object {
        /** [startedAtUnixMs] of a target that does not report its start. */
        public const val UNKNOWN_START: Long = 0
    }
}

/** Decodes items of the source; it never throws, whatever the bytes are. */
public fun interface PublishedItemDecoder {
    public fun decode(item: SourceItem): PublishedItem
}

/** One item of the source. A null [value] means that the item was removed at [revision]. */
public class SourceItem(
    public val key: String,
    public val revision: Long,
    public val value: ByteArray?,
)
