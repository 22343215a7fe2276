package kingcuptide.coordination.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What the source publishes, as this daemon holds it: routes, targets and failure domains taken out.
 *
 * The configuration version never decreases. A target that is removed right after an outage of the source is kept for
 * [EXPIRY_GRACE], since its entry may have expired while the target could not report. Confined to one thread.
 */
public class PublishedState(
    private val clock: Clock,
    private val decoder: PublishedItemDecoder,
    private val observer: Observer = Observer.NONE,
) {
    private val targetsByKey = HashMap<String, KnownTarget>()
    private val takenOutByKey = HashMap<String, FailureDomainId>()
    private val expiring = HashMap<String, Duration>()
    private val digest = StateDigest()
    private var lastConfirmedAt: Duration? = null
    private var outageEndedAt: Duration? = null
    private var targetsByService: Map<ServiceId, List<KnownTarget>>? = null

    /** The configuration in force, or null while none is known. */
    public var routing: RoutingVersion? = null
        private set

    /** Failure domains that get no new requests. */
    public var takenOut: Set<FailureDomainId> = emptySet()
        private set

    /** All known targets. */
    public val targets: Collection<KnownTarget> get() = targetsByKey.values

    /** Time since the source, or a peer that reads it, last confirmed that this state is current; infinite if never. */
    public fun age(): Duration = lastConfirmedAt?.let { clock.now() - it } ?: Duration.INFINITE

    /** Records that this state was confirmed as current the duration [ago] before now. */
    public fun confirmed(ago: Duration) {
        val at = clock.now() - ago
        val before = lastConfirmedAt
        if (before != null && at <= before) return
        if (before != null && at - before > MIN_OUTAGE) outageEndedAt = clock.now()
        lastConfirmedAt = at
    }

    /** Applies changed items of the source; returns those that changed the [digest]. */
    public fun apply(changes: List<SourceItem>): List<SourceItem> {
        if (changes.isEmpty()) return emptyList()
        val effective = changes.filter { changesState(it) }
        targetsByService = null
        takenOut = takenOutByKey.values.toSet()
        return effective
    }

    private fun changesState(item: SourceItem): Boolean {
        val before = digest.value
        applyOne(item)
        return digest.value != before
    }

    /**
     * Returns the targets of [service]: at each address the latest. An earlier one there has ended, though its entry
     * may stay for some time.
     */
    public fun targetsOf(service: ServiceId): List<KnownTarget> {
        val grouped = targetsByService ?: latestByService().also { targetsByService = it }
        return grouped[service].orEmpty()
    }

    private fun latestByService(): Map<ServiceId, List<KnownTarget>> =
        targetsByKey.values.groupBy { it.entry.service }.mapValues { (_, targets) ->
            targets.groupBy { it.entry.address }.values.map { it.maxWith(BY_START) }
        }

    /** Returns the newest target at [address], or null. */
    public fun targetAt(address: String): KnownTarget? =
        targetsByKey.values.filter { it.entry.address == address }.maxByOrNull { it.revision }

    /** Returns the target [id], or null. */
    public fun target(id: TargetId): KnownTarget? = targetsByKey.values.firstOrNull { it.entry.id == id }

    /**
     * Hash of this state, which is equal on daemons with equal state.
     *
     * It leaves out the cold time and report count of targets, and targets that are kept only for [EXPIRY_GRACE].
     */
    public fun digest(): Long = digest.value

    /** Removes targets whose grace period has ended; called a few times a second. */
    public fun tick() {
        if (expiring.isEmpty()) return
        val now = clock.now()
        val ended = expiring.filterValues { it <= now }.keys.toList()
        for (key in ended) {
            expiring.remove(key)
            dropTarget(key, "lapsed")
        }
        if (ended.isNotEmpty()) targetsByService = null
    }

    private fun applyOne(item: SourceItem) {
        if (item.value == null) return remove(item)
        when (val decoded = decoder.decode(item)) {
            is PublishedItem.Configuration -> applyRouting(decoded.version)
            is PublishedItem.Target -> applyTarget(item, decoded.entry)
            is PublishedItem.TakenOut -> applyTakenOut(item.key, decoded.failureDomain)
            is PublishedItem.Unusable -> {
                observer.unusable(item.key, item.revision, decoded.reason)
                targetsByKey.remove(item.key)
                digest.remove(item.key)
            }
        }
    }

    private fun applyRouting(version: RoutingVersion) {
        val current = routing
        if (current != null && version.number <= current.number) {
            if (version.number < current.number) observer.versionRefused(version.number, current.number)
            return
        }
        routing = version
        digest.set(ROUTING_TERM, version.number)
        observer.versionInForce(version, current?.number)
    }

    private fun applyTarget(item: SourceItem, entry: TargetEntry) {
        expiring.remove(item.key)
        val previous = targetsByKey[item.key]
        targetsByKey[item.key] = KnownTarget(entry, item.revision)
        digest.set(
            item.key,
            entry.id.value,
            entry.service.value,
            entry.address,
            entry.failureDomain.value,
            entry.softwareVersion,
            entry.slots,
            entry.leaving,
            entry.startedAtUnixMs,
        )
        if (previous == null) observer.targetSeen(entry)
        if (entry.leaving && previous?.entry?.leaving != true) observer.targetLeaving(entry)
    }

    private fun applyTakenOut(key: String, failureDomain: FailureDomainId) {
        digest.set(key, failureDomain.value)
        if (takenOutByKey.put(key, failureDomain) == null) observer.takenOut(failureDomain, true)
    }

    private fun remove(item: SourceItem) {
        digest.remove(item.key)
        takenOutByKey.remove(item.key)?.let { observer.takenOut(it, false) }
        if (item.key !in targetsByKey) return
        val ended = outageEndedAt
        if (ended != null && clock.now() - ended < EXPIRY_GRACE) {
            expiring[item.key] = ended + EXPIRY_GRACE
            return
        }
        dropTarget(item.key, "removed")
    }

    private fun dropTarget(key: String, reason: String) {
        targetsByKey.remove(key)?.let { observer.targetGone(it.entry, reason) }
    }

    /** Is notified of each change of the state. */
    public interface Observer {
        public fun versionInForce(version: RoutingVersion, before: Long?) {}

        public fun versionRefused(number: Long, held: Long) {}

        public fun targetSeen(entry: TargetEntry) {}

        public fun targetLeaving(entry: TargetEntry) {}

        public fun targetGone(entry: TargetEntry, reason: String) {}

        public fun takenOut(failureDomain: FailureDomainId, out: Boolean) {}

        public fun unusable(key: String, revision: Long, reason: String) {}

        public companion object {
            /** Ignores all changes. */
            public val NONE: Observer = object : Observer {}
        }
    }

    private companion object {
        /** A report of an earlier target may be stored after the first of its successor. */
        val BY_START: Comparator<KnownTarget> = compareBy({ it.entry.startedAtUnixMs }, { it.revision })

        /** Key of the configuration version in the digest; no item has it, since all keys have a prefix. */
        const val ROUTING_TERM = "routing"

        /**
         * Time without confirmation that counts as an outage of the source, after which removed entries may have
         * expired. Longer than daemons go without confirmation while the source is available, which is at most
         * [ReaderRole.MAX_STALE_AGE], and shorter than the time after which entries expire.
         */
        val MIN_OUTAGE = 3_600.milliseconds

        /** Time within which a running target must report again once the source is available. */
        val EXPIRY_GRACE = 2_000.milliseconds
    }
}

/** A target with its last applied entry, which the source stored at [revision]. */
public class KnownTarget(
    public val entry: TargetEntry,
    public val revision: Long,
)
