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
) : RestoreRules {
    private val targetsByKey = HashMap<String, KnownTarget>()
    private val takenOutByKey = HashMap<String, FailureDomainId>()
    private val expiring = HashMap<String, Expiry>()
    private val goneByKey = object : LinkedHashMap<String, GoneTarget>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, GoneTarget>) = size > MAX_GONE_TARGETS
    }
    private val digest = StateDigest()
    private var lastConfirmedAt: Duration? = null
    private var outageEndedAt: Duration? = null
    private var lastDecoded: Pair<SourceItem, PublishedItem>? = null
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

    /** Whether the source, or a peer that reads it, has ever confirmed that this state is current. */
    public val isConfirmed: Boolean get() = lastConfirmedAt != null

    /** Records that this state was confirmed as current the duration [ago] before now. */
    public fun confirmed(ago: Duration) {
        val at = clock.now() - ago
        val before = lastConfirmedAt
        if (before != null && at <= before) return
        if (before != null && at - before > MIN_OUTAGE) outageEndedAt = clock.now()
        lastConfirmedAt = at
    }

    /**
     * Records that the source came back from an older copy: targets that it lost are kept for [EXPIRY_GRACE], in which they
     * report again.
     */
    public fun sourceRestored(era: Long) {
        outageEndedAt = clock.now()
        observer.sourceRestored(era)
    }

    override fun rankOf(item: SourceItem): Long? =
        if (item.value == null) null else (decode(item) as? PublishedItem.Configuration)?.version?.number

    override fun isHeld(item: SourceItem): Boolean = when (decode(item)) {
        is PublishedItem.Configuration, is PublishedItem.TakenOut -> true
        is PublishedItem.Target, is PublishedItem.Unusable -> false
    }

    /** Decodes [item] unless it is the one decoded last, since documents are large. */
    private fun decode(item: SourceItem): PublishedItem {
        lastDecoded?.let { (last, decoded) -> if (last === item) return decoded }
        return decoder.decode(item).also { lastDecoded = item to it }
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

    /** Returns the entry of the target [id], or the last one if it was removed, or null if none is remembered. */
    public fun lastEntryOf(id: TargetId): TargetEntry? =
        target(id)?.entry ?: goneByKey.values.lastOrNull { it.entry.id == id }?.entry

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
        val ended = expiring.filterValues { it.at <= now }
        for ((key, expiry) in ended) {
            expiring.remove(key)
            dropTarget(key, expiry.era, "lapsed")
        }
        if (ended.isNotEmpty()) targetsByService = null
    }

    private fun applyOne(item: SourceItem) {
        if (item.value == null) return remove(item)
        when (val decoded = decode(item)) {
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
        val previous = targetsByKey[item.key]
        if (isGone(item, entry)) return
        if (previous != null && isLost(item, entry, previous)) {
            targetsByKey[item.key] = KnownTarget(previous.entry, item.revision)
            return
        }
        expiring.remove(item.key)
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

    /** A report of a removed target that a restored source offers again proves nothing; a further one does. */
    private fun isGone(item: SourceItem, entry: TargetEntry): Boolean {
        val gone = goneByKey[item.key] ?: return false
        val era = SourcePosition.eraOf(item.revision)
        val isOffered = era > gone.era && entry.startedAtUnixMs <= gone.entry.startedAtUnixMs
        val isRepeated = era == gone.era && (entry == gone.entry || entry == gone.offered)
        when {
            isOffered -> goneByKey[item.key] = GoneTarget(gone.entry, era, offered = entry)
            !isRepeated -> goneByKey.remove(item.key)
        }
        return isOffered || isRepeated
    }

    /** Whether a restored source offers an earlier report, or instance, than the one that it has lost. */
    private fun isLost(item: SourceItem, entry: TargetEntry, held: KnownTarget): Boolean =
        SourcePosition.eraOf(item.revision) > SourcePosition.eraOf(held.revision) &&
            compareValuesBy(held.entry, entry, TargetEntry::startedAtUnixMs, TargetEntry::reports) > 0

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
            expiring[item.key] = Expiry(ended + EXPIRY_GRACE, SourcePosition.eraOf(item.revision))
            return
        }
        dropTarget(item.key, SourcePosition.eraOf(item.revision), "removed")
    }

    private fun dropTarget(key: String, era: Long, reason: String) {
        val entry = targetsByKey.remove(key)?.entry ?: return
        goneByKey[key] = GoneTarget(entry, era)
        observer.targetGone(entry, reason)
    }

    /** When a removed target is dropped, and the era in which it was removed. */
    private class Expiry(
        val at: Duration,
        val era: Long,
    )

    /** The last known report of a dropped target, the era in which it was removed, and a report [offered] since. */
    private class GoneTarget(
        val entry: TargetEntry,
        val era: Long,
        val offered: TargetEntry? = null,
    )

    /** Is notified of each change of the state. */
    public interface Observer {
        public fun versionInForce(version: RoutingVersion, before: Long?) {}

        public fun versionRefused(number: Long, held: Long) {}

        public fun targetSeen(entry: TargetEntry) {}

        public fun targetLeaving(entry: TargetEntry) {}

        public fun targetGone(entry: TargetEntry, reason: String) {}

        public fun takenOut(failureDomain: FailureDomainId, out: Boolean) {}

        public fun sourceRestored(era: Long) {}

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

        /** Removed targets that are remembered, whose last reports a restored source may offer again. */
        const val MAX_GONE_TARGETS = 1_024

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
